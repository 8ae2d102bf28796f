//go:build review

package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/trailshed/trailshed/platform/standin"
)

// call is a request with its answer.
type call struct {
	standin.Response
	id, gateway, path string
	at, ended         time.Time
}

// outcome describes the answer as the caller saw it.
func (c call) outcome() string {
	if c.Err != nil {
		return "no complete answer: " + c.Err.Error()
	}
	if !c.Signed {
		return fmt.Sprintf("status %d of the gateway's own", c.Status)
	}
	return fmt.Sprintf("status %d of an endpoint", c.Status)
}

// record is what is written to record.txt.
type record struct {
	started time.Time
	mu      sync.Mutex
	lines   []line
	calls   map[string]call
}

type line struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{started: time.Now(), calls: map[string]call{}} }

func (r *record) since(at time.Time) float64 { return at.Sub(r.started).Seconds() }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := line{time.Now(), fmt.Sprintf(format, args...)}
	r.lines = append(r.lines, l)
	fmt.Printf("%8.3f %s\n", r.since(l.at), l.text)
}

func (r *record) add(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.id] = c
	r.lines = append(r.lines,
		line{c.at, fmt.Sprintf("sent %s to %s, path %s", c.id, c.gateway, c.path)},
		line{c.ended, fmt.Sprintf("answered %s: %s", c.id, c.outcome())})
}

// addArrivals records what the endpoints received.
func (r *record) addArrivals(endpoints []*standin.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range endpoints {
		for _, a := range e.Arrivals() {
			what := "refused"
			switch {
			case a.PrefillStarted:
				what = "read its prompt"
			case a.Ran && a.Cancelled:
				what = "ran and was cut off"
			case a.Ran:
				what = "ran"
			case a.Cancelled:
				what = "was cut off"
			}
			r.lines = append(r.lines, line{a.At, fmt.Sprintf("arrived %s at %s of service %s: %s", a.Request, e.ID, e.Service, what)})
		}
	}
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	parts := make([]byte, 0, len(r.lines)*80)
	for _, l := range r.lines {
		parts = fmt.Appendf(parts, "%8.3f %s\n", r.since(l.at), l.text)
	}
	return os.WriteFile(path, parts, 0o644)
}
