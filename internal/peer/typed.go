package peer

import (
	"context"
	"net/netip"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/fxamacker/cbor/v2"
)

// Encoded is a message that is encoded once for all who get it.
type Encoded struct {
	payload  []byte
	isPacked bool
}

// Encode encodes v as CBOR and compresses what is long.
func Encode(v any) (Encoded, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return Encoded{}, Error.Wrap(err)
	}
	return encoded(payload), nil
}

// encoded compresses a payload if it is long.
func encoded(payload []byte) (e Encoded) {
	e.payload, e.isPacked = pack(payload)
	return e
}

// message returns the message for one address. All messages share the payload.
func (e Encoded) message(id, to string) *message.Message {
	m := message.NewMessage(id, e.payload)
	m.Metadata.Set(To, to)
	if e.isPacked {
		m.Metadata.Set(packed, "s2")
	}
	return m
}

// Send publishes v as CBOR to one address.
func Send[T any](t *Transport, to netip.AddrPort, topic string, v T) error {
	e, err := Encode(v)
	if err != nil {
		return err
	}
	return t.Publish(topic, e.message(watermill.NewUUID(), to.String()))
}

// SendAll publishes v to several addresses, encoded once. It returns to how many it was
// not sent; what cannot be encoded is sent to none and counted as malformed.
func SendAll[T any](t *Transport, to []netip.AddrPort, topic string, v T) (unsent int) {
	e, err := Encode(v)
	if err != nil {
		t.scope.Counter("peer_malformed").Inc(1)
		return len(to)
	}
	for _, address := range to {
		if t.Publish(topic, e.message(watermill.NewUUID(), address.String())) != nil {
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
	AnswerEncoded(r, t, topic, func(ctx context.Context, s Sender, q Q) (Encoded, error) { return Encode(do(ctx, s, q)) })
}

// AnswerEncoded is Answer for answers that many askers get. One that cannot be encoded is
// counted as malformed and not sent.
func AnswerEncoded[Q any](r *message.Router, t *Transport, topic string, do func(context.Context, Sender, Q) (Encoded, error)) {
	r.AddConsumerHandler(topic, topic, t, func(m *message.Message) error {
		q, ok := decode[Q](t, m)
		if !ok {
			return nil
		}
		t.group.Go(func() {
			e, err := do(t.ctx, sender(m), q)
			if err != nil {
				t.scope.Counter("peer_malformed").Inc(1)
				return
			}
			_ = t.reply(m, e) // a lost reply is the asker's timeout
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
