// Package fleet describes the stand-in endpoints of a demonstration. It runs those
// of one zone in one process and evaluates the records of all of them.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/standin/engine"
)

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	Name    string        `yaml:"name"`
	Zone    string        `yaml:"zone"`
	Serves  string        `yaml:"serves"`
	Address string        `yaml:"address"`
	Traits  engine.Traits `yaml:"traits"`
}

// Fleet is the stand-in endpoints of all zones.
type Fleet struct {
	Endpoints []Endpoint `yaml:"endpoints"`
}

// Load reads a fleet file.
func Load(file string) (*Fleet, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	f := &Fleet{}
	return f, yaml.UnmarshalWithOptions(data, f, yaml.Strict())
}

// Serve runs the endpoints of a zone until ctx ends.
func (f *Fleet) Serve(ctx context.Context, zone string) error {
	var group sync.WaitGroup
	var servers []*http.Server
	for _, e := range f.Endpoints {
		if e.Zone != zone {
			continue
		}
		en := engine.New(e.Traits)
		s := &http.Server{Addr: e.Address, Handler: en.Handler(), ReadHeaderTimeout: 5 * time.Second}
		servers = append(servers, s)
		group.Go(func() {
			if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				fmt.Fprintln(os.Stderr, e.Name, err)
			}
		})
	}
	<-ctx.Done()
	for _, s := range servers {
		_ = s.Close()
	}
	group.Wait()
	return nil
}

// Statements returns the operators' statements that create the fleet's zones, pools
// and endpoints.
func (f *Fleet) Statements() []string {
	var all []string
	added := map[string]bool{}
	addOnce := func(statement string) {
		if !added[statement] {
			added[statement] = true
			all = append(all, statement)
		}
	}
	for _, e := range f.Endpoints {
		addOnce("create zone " + e.Zone)
		pool := strings.Join([]string{e.Zone, e.Serves, string(e.Traits.Role)}, "-")
		addOnce(fmt.Sprintf("create pool %s zone = %s, role = %s, serves = %s", pool, e.Zone, e.Traits.Role, e.Serves))
		addOnce(fmt.Sprintf("create endpoint %s pool = %s, address = %s, slots = %d", e.Name, pool, e.Address, max(e.Traits.Slots, 20)))
	}
	return all
}

// Findings is the evaluation of what the endpoints recorded during a run.
type Findings struct {
	Prefilled  int // prompt tokens computed
	Wasted     int // of these, for attempts whose answer was not completed
	Decoded    int // attempts decoded completely
	Calls      int
	RanTwice   []string // idempotency keys that ran more than once
	StillHeld  []string // attempts that still hold memory
	Unreadable []string // endpoints that did not answer
}

// runTotals accumulates the runs that the endpoints recorded.
type runTotals struct {
	prefills map[string]int  // tokens computed, by attempt
	finished map[string]bool // whether decoding completed, by attempt
	keys     map[string]int  // runs, by idempotency key
}

func (t *runTotals) add(r engine.Run) {
	switch r.Phase {
	case "prefill":
		t.prefills[r.Attempt] += r.Tokens
	case "decode":
		t.finished[r.Attempt] = r.Used
	case "call":
		if r.Key != "" {
			t.keys[r.Key]++
		}
	}
}

// Inspect fetches and evaluates the records of all endpoints.
func (f *Fleet) Inspect(ctx context.Context) Findings {
	var found Findings
	t := runTotals{prefills: map[string]int{}, finished: map[string]bool{}, keys: map[string]int{}}
	for _, e := range f.Endpoints {
		var runs []engine.Run
		var report endpoint.Report
		if getJSON(ctx, e.Address, "/control/runs", &runs) != nil || getJSON(ctx, e.Address, "/report", &report) != nil {
			found.Unreadable = append(found.Unreadable, e.Name)
			continue
		}
		for _, h := range report.Held {
			found.StillHeld = append(found.StillHeld, e.Name+" "+h.Attempt+" "+h.Phase)
		}
		for _, r := range runs {
			t.add(r)
			if r.Phase == "call" {
				found.Calls++
			}
		}
	}
	t.sum(&found)
	return found
}

func (t *runTotals) sum(found *Findings) {
	for attempt, tokens := range t.prefills {
		found.Prefilled += tokens
		if !t.finished[attempt] {
			found.Wasted += tokens
		}
	}
	for _, done := range t.finished {
		if done {
			found.Decoded++
		}
	}
	for key, n := range t.keys {
		if n > 1 {
			found.RanTwice = append(found.RanTwice, key)
		}
	}
}

func getJSON(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}
