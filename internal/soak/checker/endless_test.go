package checker_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

// Callers get no answer because an endpoint's has no end, or an instance goes on reading one whose call has ended.
func TestAnswersWithoutEnd(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		calls  int
		runs   int           // of each at endpoints without end; 0: 1
		served int           // of them
		read   time.Duration // from the end of the calls
		budget float64       // slack of the retry budget; 0: ample
		scope  timeline.Scope
		target string
		want   string // the promise that is violated; empty if none is
	}{
		{name: "served elsewhere", path: "/safe/x", calls: 12, served: 12},
		{name: "half of them served", path: "/safe/x", calls: 12, served: 6},
		{name: "most not served", path: "/safe/x", calls: 12, served: 5, want: "served elsewhere"},
		{name: "few calls", path: "/safe/x", calls: 11},
		{name: "most not served, small retry budget", path: "/safe/x", calls: 12, budget: checker.AmpleRetrySlack - 1},
		{name: "both attempts spent", path: "/safe/x", calls: 12, runs: 2},
		{name: "may run once", path: "/unsafe/x", calls: 12},
		{name: "instance stood still", path: "/safe/x", calls: 12, scope: timeline.Frozen, target: "a-1"},
		{name: "another endpoint ended", path: "/safe/x", calls: 12, scope: timeline.Endpoint, target: "e2"},
		{name: "other endpoints without end", path: "/safe/x", calls: 12, scope: timeline.Endless, target: "e2", want: "served elsewhere"},

		{name: "read on a little", path: "/safe/x", calls: 1, served: 1, read: 400 * time.Millisecond},
		{name: "read on", path: "/safe/x", calls: 1, served: 1, read: 600 * time.Millisecond, want: "caller gone"},
		{name: "read on, stood still", path: "/safe/x", calls: 1, served: 1, read: 600 * time.Millisecond, scope: timeline.Frozen, target: "a-1"},
		{name: "read on, endpoint ended", path: "/safe/x", calls: 1, served: 1, read: 600 * time.Millisecond, scope: timeline.Endpoint, target: "e1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faults := &timeline.Timeline{}
			faults.Begin(timeline.Endless, "e1", "endless")
			if test.scope != "" {
				faults.Begin(test.scope, test.target, "trouble")
			}
			var runs []checker.Run
			var calls []caller.Call
			for n := range test.calls {
				k := call(fmt.Sprintf("r%d", n), test.path)
				k.Sent, k.Ended = time.Now(), time.Now().Add(time.Second)
				if n >= test.served {
					k.Reply.Status, k.Reply.Body = http.StatusBadGateway, ""
				}
				r := run(k)
				r.Endless, r.Ended = true, k.Ended.Add(test.read)
				calls = append(calls, k)
				for range max(test.runs, 1) {
					runs = append(runs, r)
				}
			}
			b := bounds
			if b.RetrySlack = test.budget; b.RetrySlack == 0 {
				b.RetrySlack = checker.AmpleRetrySlack
			}
			c := checker.New(b, faults, func() []checker.Run { return runs })
			for _, k := range calls {
				c.RecordCall(k)
			}
			assertBroken(t, c, test.want)
		})
	}
}
