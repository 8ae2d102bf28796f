package peer

import (
	"context"
	"net/netip"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/fxamacker/cbor/v2"
)

// Send publishes v as CBOR to one address.
func Send[T any](t *Transport, to netip.AddrPort, topic string, v T) error {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	return t.Publish(topic, newMessage(watermill.NewUUID(), payload, to.String()))
}

// SendAll publishes v to several addresses, encoded once. It returns to how many it was
// not sent; what cannot be encoded is sent to none and counted as malformed.
func SendAll[T any](t *Transport, to []netip.AddrPort, topic string, v T) (unsent int) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		t.scope.Counter("peer_malformed").Inc(1)
		return len(to)
	}
	first := newMessage("", payload, "")
	for _, address := range to {
		m := message.NewMessage(watermill.NewUUID(), first.Payload)
		m.Metadata.Set(To, address.String())
		m.Metadata.Set(packed, first.Metadata.Get(packed))
		if t.Publish(topic, m) != nil {
			unsent++ // a full queue; the next message tells more
		}
	}
	return unsent
}

// Ask sends a question as CBOR and decodes the reply.
func Ask[Q, A any](ctx context.Context, t *Transport, to netip.AddrPort, topic string, question Q) (A, error) {
	var a A
	payload, err := cbor.Marshal(question)
	if err != nil {
		return a, Error.Wrap(err)
	}
	reply, err := t.Ask(ctx, to, topic, payload)
	if err != nil {
		return a, err
	}
	return a, Error.Wrap(cbor.Unmarshal(reply, &a))
}

// Sender is who sent a message.
type Sender struct {
	Name    string
	Address netip.AddrPort
}

// Handle adds a handler of one-way messages. It must return quickly: the next
// message of the same sender waits for it.
func Handle[T any](r *message.Router, t *Transport, topic string, do func(Sender, T)) {
	r.AddConsumerHandler(topic, topic, t, func(m *message.Message) error {
		if v, ok := decode[T](t, m); ok {
			do(sender(m), v)
		}
		return nil
	})
}

// Answer adds a handler of questions. Each runs apart from the stream it came
// on, so that a slow answer delays no other message.
func Answer[Q, A any](r *message.Router, t *Transport, topic string, do func(context.Context, Sender, Q) A) {
	r.AddConsumerHandler(topic, topic, t, func(m *message.Message) error {
		q, ok := decode[Q](t, m)
		if !ok {
			return nil
		}
		t.group.Go(func() {
			payload, err := cbor.Marshal(do(t.ctx, sender(m), q))
			if err != nil {
				t.scope.Counter("peer_malformed").Inc(1)
				return
			}
			_ = t.Reply(m, payload) // a lost reply is the asker's timeout
		})
		return nil
	})
}

// decode counts a malformed message; to take it again would not mend it.
func decode[T any](t *Transport, m *message.Message) (v T, ok bool) {
	if err := cbor.Unmarshal(m.Payload, &v); err != nil {
		t.scope.Counter("peer_malformed").Inc(1)
		return v, false
	}
	return v, true
}

func sender(m *message.Message) Sender {
	address, _ := netip.ParseAddrPort(m.Metadata.Get(Address))
	return Sender{Name: m.Metadata.Get(From), Address: address}
}
