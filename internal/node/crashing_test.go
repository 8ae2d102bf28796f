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

// The same as at the gateway, where it was seen first: a call that ends the endpoint
// that runs it came again at any node, and each of its tries was sent to three
// endpoints. Nothing outlived one try.

const (
	// poison is what ends a service that runs it.
	poison = "poison"
	// services is how many endpoints a zone has besides the one of every site.
	services = 4
	// endsAllowed and callsAllowed are the users' bounds: a call that has ended three
	// endpoints may reach endpoints three times more.
	endsAllowed  = 3
	callsAllowed = 3
	spreadTime   = 3 * time.Second
)

// crashingSite is a site with more services, all of which end under a poisoned call.
func crashingSite(t *testing.T) (s *site.Site, names []string) {
	s = open(t)
	for _, zone := range []string{"a", "b"} {
		names = append(names, zone+"-service")
		for i := range services {
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
	until(t, "every endpoint is heard", func() bool {
		load, err := do(s.Nodes[1], "show load where state = open")
		return err == nil && len(load.Rows) == 6+2*services
	})
	return s, names
}

func callsRun(s *site.Site, names []string) (n int) {
	for _, name := range names {
		n += len(s.Engines[name].Runs())
	}
	return n
}

func TestCallThatEndsServices(t *testing.T) {
	c := qt.New(t)
	s, names := crashingSite(t)
	read := call{path: "/v1/services/bank/x", key: "key-w", kind: "read", body: poison}
	comeAgain := func() {
		for range 3 {
			for _, n := range s.Nodes {
				_, err := read.send(context.Background(), n)
				c.Assert(err, qt.IsNil)
			}
		}
	}
	comeAgain()
	ended := callsRun(s, names)
	c.Check(ended <= endsAllowed+callsAllowed, qt.IsTrue, qt.Commentf("%d services ended", ended))
	for _, name := range names {
		if len(s.Engines[name].Runs()) > 0 {
			c.Assert(s.StartAgain(name), qt.IsNil)
		}
	}
	// One that knows nothing of it takes the place of one that does.
	s.Nodes[1].Stop()
	s.Nodes = s.Nodes[:1]
	_, err := s.AddNode("nc", "b", nil)
	c.Assert(err, qt.IsNil)
	time.Sleep(spreadTime)
	before := callsRun(s, names)
	comeAgain()
	more := callsRun(s, names) - before
	c.Check(more <= callsAllowed, qt.IsTrue, qt.Commentf("%d calls more", more))
	read.body = "sound"
	until(t, "sound calls are served", func() bool {
		a, err := read.send(context.Background(), s.Nodes[0])
		return err == nil && a.status == 200
	})
}
