package node_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/standin/engine"
	"github.com/trailshed/trailshed/internal/standin/site"
)

// An endpoint that announces a rate limit in its responses gets no more than that from all
// processes together, and other endpoints serve the callers. Guards, like the test below,
// against notices in responses (leaving, backoff, rate limit) that were ignored, so that
// work was sent to the endpoint as before. The gateway had the same fault first.
func TestEndpointsWithRateLimit(t *testing.T) {
	const (
		rate       = 3.0
		settleTime = 3 * time.Second // after it was first announced
		window     = 4 * time.Second
		allowed    = 1.5*rate*4 + 5
	)
	for _, role := range []engine.Role{engine.Service, engine.Prefill, engine.Decode} {
		t.Run(string(role), func(t *testing.T) {
			t.Parallel() // mostly waiting
			c := qt.New(t)
			s, target := openPair(t, role)
			until(t, "the target gets a request", func() bool { sendRequests(t, s, role); return target.WorkRequests() > 0 })
			target.SetFaults(engine.Faults{Limit: rate})
			sent, answered := 0, 0
			sendFor := func(length time.Duration) {
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					sent += 4
					answered += sendRequests(t, s, role)
				}
			}
			sendFor(settleTime)
			before := target.WorkRequests()
			sendFor(window)
			got := target.WorkRequests() - before
			c.Check(float64(got) <= allowed, qt.IsTrue, qt.Commentf("%d of %g", got, allowed))
			c.Check(answered, qt.Equals, sent)
		})
	}
}

// openPair opens a site whose zone a has two endpoints of a role, and returns one of them.
func openPair(t *testing.T, role engine.Role) (s *site.Site, target *engine.Engine) {
	s = open(t)
	pool := "a-" + string(role)
	s.AddEngine("a-more", engine.Traits{Role: role})
	_, err := do(s.Nodes[0], fmt.Sprintf("create endpoint a-more pool = %s, address = %s", pool, s.Address("a-more")))
	qt.Assert(t, err, qt.IsNil)
	until(t, "every endpoint has reported", func() bool {
		load, err := do(s.Nodes[0], "show load where state = open")
		return err == nil && len(load.Rows) == 7
	})
	return s, s.Engines[pool]
}

// prompts counts the prompts sent.
var prompts atomic.Int64

// sendRequests sends a few concurrent requests of the kind that the role serves, and returns
// how many succeeded.
func sendRequests(t *testing.T, s *site.Site, role engine.Role) (answered int) {
	const concurrent = 4
	var group sync.WaitGroup
	statuses := make([]int, concurrent)
	for i := range concurrent {
		group.Go(func() {
			// Prompts differ, because a repeated one is sent where it is cached.
			c := completion(strings.Repeat(fmt.Sprintf("%s %d ", t.Name(), prompts.Add(1)), 50), 4, false)
			c.key, c.kind = "key-w", "chat"
			if role == engine.Service {
				c = call{path: "/v1/services/bank/x", key: "key-w", kind: "read", body: "sound"}
			}
			if a, err := c.send(context.Background(), s.Nodes[0]); err == nil {
				statuses[i] = a.status
			}
		})
	}
	group.Wait()
	for _, status := range statuses {
		if status == 200 {
			answered++
		}
	}
	return answered
}

func TestEndpointNotices(t *testing.T) {
	faults := []struct {
		name   string
		faults engine.Faults
	}{
		{"leaving", engine.Faults{Leaving: true}},
		{"backoff", engine.Faults{RetryAfter: 60}}, // longer than a test
	}
	for _, role := range []engine.Role{engine.Service, engine.Prefill, engine.Decode} {
		for _, test := range faults {
			t.Run(string(role)+", "+test.name, func(t *testing.T) {
				c := qt.New(t)
				s, target := openPair(t, role)
				until(t, "the target gets a request", func() bool { sendRequests(t, s, role); return target.WorkRequests() > 0 })
				target.SetFaults(test.faults)
				before := target.WorkRequests()
				// The notice may arrive in a report first, and then no request is sent.
				for range 25 {
					if sendRequests(t, s, role); target.WorkRequests() > before {
						break
					}
				}
				before = target.WorkRequests()
				answered := 0
				for range 6 {
					answered += sendRequests(t, s, role)
				}
				c.Check(target.WorkRequests()-before, qt.Equals, 0)
				c.Check(answered, qt.Equals, 24)
			})
		}
	}
}
