package forward

import (
	"time"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/pkg/clock"
)

// seen times the answer of one send to an engine, for planners to learn from.
type seen struct {
	sent        clock.Millis // 0: nothing is to be learned from this send
	first, last clock.Millis // events; 0 before the first
	events      int
	eventTokens int
	ended       bool
}

// beginSeen starts the times of a send to engines. A stream that goes on after
// an event has parts of its answer read anew, so its times tell little.
func (p *passage) beginSeen() {
	p.seen = seen{}
	if p.place == nil || p.last != "" {
		return
	}
	p.seen = seen{sent: p.Now(), eventTokens: max(p.view.Table.Service(p.service).Engine.EventTokens, 1)}
}

func (s *seen) event(now clock.Millis) {
	if s.events == 0 {
		s.first = now
	}
	s.events++
	s.last = now
}

// told is what planners are told; nil if no event came.
func (s *seen) told() *placement.Seen {
	if s.sent == 0 || s.events == 0 {
		return nil
	}
	told := &placement.Seen{
		Begin: max(s.first.Sub(s.sent), time.Millisecond), Tokens: (s.events - 1) * s.eventTokens, Decoding: s.last.Sub(s.first),
	}
	if s.ended {
		told.Ended = s.events * s.eventTokens
	}
	return told
}
