package peer

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"
)

// subscription passes the messages of one topic to watermill. Writers send on in, which
// is never closed; only forward writes to and closes out.
type subscription struct {
	in   chan *message.Message
	out  chan *message.Message
	ctx  context.Context
	stop context.CancelFunc
}

func (s *subscription) forward(transport context.Context) {
	defer close(s.out)
	defer s.stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-transport.Done():
			return
		case m := <-s.in:
			select {
			case s.out <- m:
			case <-s.ctx.Done():
				return
			case <-transport.Done():
				return
			}
		}
	}
}

// deliver blocks until m is acknowledged, which preserves the order of a sender's
// messages. It reports whether m was acknowledged.
func (s *subscription) deliver(m *message.Message) bool {
	select {
	case s.in <- m:
	case <-s.ctx.Done():
		return false
	}
	select {
	case <-m.Acked():
		return true
	case <-m.Nacked():
		return false
	case <-s.ctx.Done():
		return false
	}
}
