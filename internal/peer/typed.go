package peer

import (
	"context"
	"net/netip"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/fxamacker/cbor/v2"
)

// Encoded is a payload that is encoded once for all its receivers.
type Encoded struct {
	payload    []byte
	compressed bool
}

// Encode encodes v as CBOR and compresses it if it is long.
func Encode(v any) (Encoded, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return Encoded{}, Error.Wrap(err)
	}
	return encoded(payload), nil
}

// encoded wraps a payload, compressed if it is long.
func encoded(payload []byte) (e Encoded) {
	e.payload, e.compressed = compress(payload)
	return e
}

// message returns a message to one address. All messages share the payload.
func (e Encoded) message(id, to string) *message.Message {
	m := message.NewMessage(id, e.payload)
	m.Metadata.Set(To, to)
	if e.compressed {
		m.Metadata.Set(compressedKey, "s2")
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

// SendAll publishes v to several addresses, encoded once. It returns the number of
// addresses to which it was not sent. If v cannot be encoded, it is sent to none and
// counted as malformed.
func SendAll[T any](t *Transport, to []netip.AddrPort, topic string, v T) (unsent int) {
	e, err := Encode(v)
	if err != nil {
		t.scope.Counter("peer_malformed").Inc(1)
		return len(to)
	}
	for _, address := range to {
		if t.Publish(topic, e.message(watermill.NewUUID(), address.String())) != nil {
			unsent++ // the queue is full; a later message brings the receiver up to date
		}
	}
	return unsent
}

// Call sends a request as CBOR and decodes the reply.
func Call[Q, A any](ctx context.Context, t *Transport, to netip.AddrPort, topic string, request Q) (A, error) {
	var a A
	payload, err := cbor.Marshal(request)
	if err != nil {
		return a, Error.Wrap(err)
	}
	reply, err := t.Call(ctx, to, topic, payload)
	if err != nil {
		return a, err
	}
	return a, Error.Wrap(cbor.Unmarshal(reply, &a))
}

// Sender identifies the process that sent a message.
type Sender struct {
	Name    string
	Address netip.AddrPort
}

// Handle adds a handler for one-way messages. It must return quickly, because it blocks
// the sender's next message.
func Handle[T any](r *message.Router, t *Transport, topic string, do func(Sender, T)) {
	r.AddConsumerHandler(topic, topic, t, func(m *message.Message) error {
		if v, ok := decode[T](t, m); ok {
			do(sender(m), v)
		}
		return nil
	})
}

// HandleCall adds a handler for requests sent by Call. Each runs in its own goroutine, so
// that a slow one does not delay other messages.
func HandleCall[Q, A any](r *message.Router, t *Transport, topic string, do func(context.Context, Sender, Q) A) {
	HandleCallEncoded(r, t, topic, func(ctx context.Context, s Sender, q Q) (Encoded, error) { return Encode(do(ctx, s, q)) })
}

// HandleCallEncoded is HandleCall for replies that are shared by many callers and encoded
// once. If do returns an error, the request is counted as malformed and gets no reply.
func HandleCallEncoded[Q any](r *message.Router, t *Transport, topic string, do func(context.Context, Sender, Q) (Encoded, error)) {
	r.AddConsumerHandler(topic, topic, t, func(m *message.Message) error {
		q, ok := decode[Q](t, m)
		if !ok {
			return nil
		}
		started := t.spawn(func() {
			e, err := do(t.ctx, sender(m), q)
			if err != nil {
				t.scope.Counter("peer_malformed").Inc(1)
				return
			}
			_ = t.reply(m, e) // if it is lost, the caller times out
		})
		if !started {
			t.scope.Counter("peer_closing").Inc(1)
		}
		return nil
	})
}

// decode decodes a message. A malformed one is counted but not redelivered, which would
// not help.
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
