// Package fleet describes the stand-in endpoints of a demonstration, runs those
// of one zone in one process and inspects them all.
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

// Fleet is all of them.
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

// Statements returns the operators' commands that create the fleet's pools and
// endpoints.
func (f *Fleet) Statements() []string {
	var all []string
	seen := map[string]bool{}
	once := func(statement string) {
		if !seen[statement] {
			seen[statement] = true
			all = append(all, statement)
		}
	}
	for _, e := range f.Endpoints {
		once("create zone " + e.Zone)
		pool := strings.Join([]string{e.Zone, e.Serves, string(e.Traits.Role)}, "-")
		once(fmt.Sprintf("create pool %s zone = %s, role = %s, serves = %s", pool, e.Zone, e.Traits.Role, e.Serves))
		once(fmt.Sprintf("create endpoint %s pool = %s, address = %s, slots = %d", e.Name, pool, e.Address, max(e.Traits.Slots, 20)))
	}
	return all
}

// Findings is what the endpoints themselves say of a run.
type Findings struct {
	Prefilled  int // prompt tokens computed
	Wasted     int // of them, for attempts whose answer was never finished
	Decoded    int // attempts decoded to the end
	Calls      int
	RanTwice   []string // keys that ran more than once
	StillHeld  []string // attempts that hold memory
	Unreadable []string // endpoints that did not answer
}

// ledger adds up what the endpoints recorded.
type ledger struct {
	prefills map[string]int // tokens computed, by attempt
	finished map[string]bool
	keys     map[string]int
}

func (l *ledger) add(r engine.Run) {
	switch r.Phase {
	case "prefill":
		l.prefills[r.Attempt] += r.Tokens
	case "decode":
		l.finished[r.Attempt] = r.Used
	case "call":
		if r.Key != "" {
			l.keys[r.Key]++
		}
	}
}

// Inspect reads all endpoints' own records.
func (f *Fleet) Inspect(ctx context.Context) Findings {
	var found Findings
	l := ledger{prefills: map[string]int{}, finished: map[string]bool{}, keys: map[string]int{}}
	for _, e := range f.Endpoints {
		var runs []engine.Run
		var report endpoint.Report
		if get(ctx, e.Address, "/control/runs", &runs) != nil || get(ctx, e.Address, "/report", &report) != nil {
			found.Unreadable = append(found.Unreadable, e.Name)
			continue
		}
		for _, h := range report.Held {
			found.StillHeld = append(found.StillHeld, e.Name+" "+h.Attempt+" "+h.Phase)
		}
		for _, r := range runs {
			l.add(r)
			if r.Phase == "call" {
				found.Calls++
			}
		}
	}
	l.sum(&found)
	return found
}

func (l *ledger) sum(found *Findings) {
	for attempt, tokens := range l.prefills {
		found.Prefilled += tokens
		if !l.finished[attempt] {
			found.Wasted += tokens
		}
	}
	for _, done := range l.finished {
		if done {
			found.Decoded++
		}
	}
	for key, n := range l.keys {
		if n > 1 {
			found.RanTwice = append(found.RanTwice, key)
		}
	}
}

func get(ctx context.Context, address, path string, into any) error {
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
