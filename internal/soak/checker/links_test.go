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

// Calls at instances that have lost their links to endpoints are compared with those at others,
// unless nobody has links.
func TestCutInstances(t *testing.T) {
	tests := []struct {
		name           string
		served, others int // of 20 calls each
		allCut         bool
		want           int // violations
	}{
		{"serves as the others", 20, 20, false, 0},
		{"fails a few", 9, 20, false, 1},
		{"fails all", 0, 20, false, 1},
		{"others fail too", 5, 6, false, 0},
		{"fails fewer than are allowed", 10, 20, false, 0},
		{"all are cut", 0, 0, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			faults := &timeline.Timeline{}
			c := checker.New(bounds, faults, func() []checker.Run { return nil })
			end := faults.Begin(timeline.Links, "a-1", "unlink")
			if test.allCut {
				defer faults.Begin(timeline.Links, "b-1", "unlink")()
			}
			time.Sleep(2*bounds.CalmTime + 400*time.Millisecond)
			for n := range 20 {
				for instance, served := range map[string]int{"a-1": test.served, "b-1": test.others} {
					reply := call(fmt.Sprintf("%s %d", instance, n), "/safe/x")
					reply.Gateway.Name = instance
					if n >= served {
						reply.Reply.Status = http.StatusServiceUnavailable
					}
					c.RecordCall(reply)
				}
			}
			end()
			var found []checker.Violation
			for _, v := range c.Check(false) {
				if v.Promise == "cut instances serve" {
					found = append(found, v)
				}
			}
			qt.Assert(t, found, qt.HasLen, test.want)
		})
	}
}

// A request may be held only if an endpoint that ran it had a fault.
func TestHeldRequests(t *testing.T) {
	tests := []struct {
		name  string
		body  string
		fault bool
		want  int
	}{
		{"sound", "x", false, 1},
		{"ran at an endpoint with a fault", "x", true, 0},
		{"poisoned", caller.PoisonMarker + " 1", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faults := &timeline.Timeline{}
			held := call("r1", "/stream/x")
			held.Body = test.body
			held.Reply.Status, held.Reply.Body = http.StatusServiceUnavailable, "not run: ends_endpoints\n"
			earlier := run(held)
			earlier.Request = "r0"
			if test.fault {
				faults.Begin(timeline.Endpoint, "e1", "crash")
				earlier.At = time.Now()
				earlier.Ended = earlier.At.Add(time.Millisecond)
			}
			c := checker.New(bounds, faults, func() []checker.Run { return []checker.Run{earlier} })
			c.RecordCall(held)
			found := 0
			for _, v := range c.Check(false) {
				if v.Promise == "sound requests run" {
					found++
				}
			}
			qt.Assert(t, found, qt.Equals, test.want)
		})
	}
}
