package checker_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

// Requests with a crashing part may reach three endpoints more from CalmTime after the fifth crash on,
// and sound requests begin half as often as without them at least.
func TestCrashingParts(t *testing.T) {
	tests := []struct {
		name  string
		later int // sends from CalmTime after the fifth crash on
		begun int // sound calls that begin meanwhile, of 30
		held  bool
		want  []string // promises that are not kept
	}{
		{"three more", 3, 30, false, nil},
		{"four more", 4, 30, false, []string{"crashing parts"}},
		{"half of the sound requests begin", 0, 15, false, nil},
		{"fewer", 0, 14, false, []string{"sound requests run"}},
		{"a sound request is refused for a part", 0, 30, true, []string{"sound requests run"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var runs []checker.Run
			c := checker.New(bounds, &timeline.Timeline{}, func() []checker.Run { return runs })
			start := time.Now().Add(-time.Minute)
			record := func(id, path string, at time.Duration, edit func(*caller.Call)) {
				made := call(id, path)
				made.Sent = start.Add(at)
				made.Ended = made.Sent.Add(100 * time.Millisecond)
				edit(&made)
				c.RecordCall(made)
			}
			crash := func(id string, at time.Duration, sent bool) {
				record(id, "/stream/x", at, func(made *caller.Call) {
					made.Kind = caller.PartKind(1)
					made.Reply.Status, made.Reply.Body = http.StatusServiceUnavailable, "not run: crashing_part\n"
					if sent {
						made.Reply.Status, made.Reply.Body = http.StatusBadGateway, "may have run"
						runs = append(runs, run(*made))
					}
				})
			}
			for n := range 5 {
				crash(fmt.Sprintf("c%d", n), time.Duration(10+n)*time.Second, true)
			}
			for n := range test.later {
				crash(fmt.Sprintf("l%d", n), time.Duration(20+n)*time.Second, true)
			}
			crash("last", 50*time.Second, false)
			for n := range 30 {
				record(fmt.Sprintf("before%d", n), "/stream/x", time.Duration(n)*100*time.Millisecond, func(*caller.Call) {})
				record(fmt.Sprintf("during%d", n), "/stream/x", 20*time.Second+time.Duration(n)*time.Second, func(made *caller.Call) {
					if n >= test.begun {
						made.Reply.Status, made.Reply.Body = http.StatusServiceUnavailable, "not run: no_place\n"
					}
				})
			}
			if test.held {
				record("held", "/stream/x", 30*time.Second, func(made *caller.Call) {
					made.Reply.Status, made.Reply.Body = http.StatusServiceUnavailable, "not run: crashing_part\n"
				})
			}
			var found []string
			for _, v := range c.Check(false) {
				if v.Promise == "crashing parts" || v.Promise == "sound requests run" {
					found = append(found, v.Promise)
				}
			}
			qt.Assert(t, found, qt.DeepEquals, test.want)
		})
	}
}
