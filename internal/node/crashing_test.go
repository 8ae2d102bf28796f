package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/standin/engine"
	"github.com/trailshed/trailshed/internal/standin/site"
)

const (
	// poison is a body that ends a service that runs it.
	poison = "poison"
	// extraServices is the number of endpoints per zone in addition to the one of every site.
	extraServices = 4
	// maxEnded and maxMoreCalls are the users' bounds: a call that has ended three
	// endpoints may be sent to endpoints three more times.
	maxEnded         = 3
	maxMoreCalls     = 3
	propagationDelay = 3 * time.Second
)

// crashingSite opens a site with more services, all of which end when they run poison.
func crashingSite(t *testing.T) (s *site.Site, names []string) {
	s = open(t)
	for _, zone := range []string{"a", "b"} {
		names = append(names, zone+"-service")
		for i := range extraServices {
			name := fmt.Sprintf("%s-more-%d", zone, i)
			s.AddEngine(name, engine.Traits{Role: engine.Service})
			_, err := do(s.Nodes[0], fmt.Sprintf("create endpoint %s pool = %s-service, address = %s", name, zone, s.Address(name)))
			qt.Assert(t, err, qt.IsNil)
			names = append(names, name)
		}
	}
	for _, name := range names {
		s.Engines[name].SetFaults(engine.Faults{CrashOn: poison})
	}
	until(t, "every endpoint has reported", func() bool {
		load, err := do(s.Nodes[1], "show load where state = open")
		return err == nil && len(load.Rows) == 6+2*extraServices
	})
	return s, names
}

func countRuns(s *site.Site, names []string) (n int) {
	for _, name := range names {
		n += len(s.Engines[name].Runs())
	}
	return n
}

// Guards against a call that ends every endpoint that runs it. When the caller repeated it,
// at any node, each attempt was sent to three endpoints, because nodes remembered nothing
// beyond one attempt. The gateway had the same fault first.
func TestCallThatEndsServices(t *testing.T) {
	c := qt.New(t)
	s, names := crashingSite(t)
	read := call{path: "/v1/services/bank/x", key: "key-w", kind: "read", body: poison}
	sendAgain := func() {
		for range 3 {
			for _, n := range s.Nodes {
				_, err := read.send(context.Background(), n)
				c.Assert(err, qt.IsNil)
			}
		}
	}
	sendAgain()
	ended := countRuns(s, names)
	c.Check(ended <= maxEnded+maxMoreCalls, qt.IsTrue, qt.Commentf("%d services ended", ended))
	for _, name := range names {
		if len(s.Engines[name].Runs()) > 0 {
			c.Assert(s.RestartEngine(name), qt.IsNil)
		}
	}
	// A new node without records replaces one that has them.
	s.Nodes[1].Stop()
	s.Nodes = s.Nodes[:1]
	_, err := s.AddNode("nc", "b", nil)
	c.Assert(err, qt.IsNil)
	time.Sleep(propagationDelay)
	before := countRuns(s, names)
	sendAgain()
	more := countRuns(s, names) - before
	c.Check(more <= maxMoreCalls, qt.IsTrue, qt.Commentf("%d more calls", more))
	read.body = "sound"
	until(t, "harmless calls are served", func() bool {
		a, err := read.send(context.Background(), s.Nodes[0])
		return err == nil && a.status == 200
	})
}
