package forward

import (
	"time"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/pkg/clock"
)

// responseTiming times the response to one send to an engine. Planners learn the speed of
// engines from it.
type responseTiming struct {
	sentAt      clock.Millis // 0 if this send is not timed
	first, last clock.Millis // times of events; 0 before the first
	events      int
	eventTokens int  // tokens per event
	ended       bool // the stream is complete
}

// startTiming starts the timing of a send to engines. A stream that resumes after an event
// is not timed, since parts of its answer are prefilled again.
func (p *proxyRequest) startTiming() {
	p.timing = responseTiming{}
	if p.place == nil || p.lastEventID != "" {
		return
	}
	p.timing = responseTiming{sentAt: p.Now(), eventTokens: max(p.view.Table.Service(p.service).Engine.EventTokens, 1)}
}

func (t *responseTiming) event(now clock.Millis) {
	if t.events == 0 {
		t.first = now
	}
	t.events++
	t.last = now
}

// observation returns what is reported to planners, or nil if no event came.
func (t *responseTiming) observation() *placement.Observation {
	if t.sentAt == 0 || t.events == 0 {
		return nil
	}
	observation := &placement.Observation{
		FirstEventTime: max(t.first.Sub(t.sentAt), time.Millisecond), Tokens: (t.events - 1) * t.eventTokens, DecodeTime: t.last.Sub(t.first),
	}
	if t.ended {
		observation.TotalTokens = t.events * t.eventTokens
	}
	return observation
}
