package dialer

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Silent endpoints are tried in turn, half of them at a time within bounds; less often when they are silent for long.
func TestDueSilences(t *testing.T) {
	tests := []struct {
		name     string
		silent   int
		since    time.Duration // time from the silence to the first probe
		count    int           // endpoints that are tried then
		interval time.Duration // until the first one is tried again
	}{
		{"none", 0, 0, 0, 0},
		{"one", 1, 0, 1, probeInterval},
		{"two", 2, 0, 2, probeInterval},
		{"six", 6, 0, 3, 2 * probeInterval},
		{"forty", 40, 0, maxSilentProbes, 3 * probeInterval},
		{"one, for long", 1, longSilence, 1, longSilenceInterval},
		{"six, for long", 6, longSilence, 3, longSilenceInterval + probeInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, now := silences{endpoints: map[string]*silence{}}, clock.Millis(1000)
			for n := range test.silent {
				s.record(now, tunnel.Destination{EndpointID: strconv.Itoa(n), Service: "web"})
			}
			now = now.Add(test.since)
			first := s.due(now)
			c.Assert(first, qt.HasLen, test.count)
			if test.count == 0 {
				return
			}
			started, again := now, false
			for !again {
				now = now.Add(probeInterval)
				for _, e := range s.due(now) {
					again = again || e.EndpointID == first[0].EndpointID
				}
			}
			c.Assert(now.Sub(started) <= test.interval, qt.IsTrue, qt.Commentf("%v", now.Sub(started)))
			s.forget(first[0].EndpointID)
			for _, e := range s.due(now.Add(longSilenceInterval)) {
				c.Assert(e.EndpointID, qt.Not(qt.Equals), first[0].EndpointID)
			}
		})
	}
}

// A silence does not begin again with each connection that fails.
func TestRecordSilence(t *testing.T) {
	c := qt.New(t)
	s := silences{endpoints: map[string]*silence{}}
	to := tunnel.Destination{EndpointID: "e1", Service: "web"}
	s.record(1000, to)
	s.record(2900, to)
	c.Assert(s.due(3100), qt.HasLen, 1)
	c.Assert(s.due(3350), qt.HasLen, 0)
	c.Assert(s.due(3850), qt.HasLen, 1)
}
