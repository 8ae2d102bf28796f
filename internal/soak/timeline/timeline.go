// Package timeline records when which faults were in force, so that time bounds are checked
// only where no fault interfered.
package timeline

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Scope is the part of the system that a fault affects.
type Scope string

// Scopes of faults.
const (
	Process       Scope = "process"  // an instance is killed, frozen or starting
	Kill          Scope = "kill"     // an instance is killed; part of Process
	Frozen        Scope = "frozen"   // an instance is paused or suspended; part of Process
	Planned       Scope = "planned"  // an instance is stopping after SIGTERM
	Peers         Scope = "peers"    // the connections between instances
	Store         Scope = "store"    // the store, for all instances
	InstanceStore Scope = "door"     // the store, for one instance
	Links         Scope = "links"    // an instance's own connections to endpoints
	Endpoint      Scope = "endpoint" // an endpoint or the link to it
	Silence       Scope = "silence"  // an endpoint is silent and goes on; part of Endpoint
	Endless       Scope = "endless"  // an endpoint's answers have no end; part of Endpoint
	Refusal       Scope = "refusal"  // an endpoint refuses requests that it ran, or repeats rejections; part of Endpoint
	Load          Scope = "load"     // an endpoint rejects requests and asks for a backoff
	Flood         Scope = "flood"    // a workspace sends more than a service can serve
)

// parents are the scopes of which others are parts.
var parents = map[Scope]Scope{Kill: Process, Frozen: Process, Silence: Endpoint, Endless: Endpoint, Refusal: Endpoint}

// Fault is one fault.
type Fault struct {
	Scope       Scope
	Target      string // name of an instance or endpoint; empty for all
	Description string
	From        time.Time
	To          time.Time // zero while it lasts
}

// Timeline is the list of faults. It is safe for concurrent use.
type Timeline struct {
	mu     sync.Mutex
	faults []*Fault
}

// Begin records the beginning of a fault. The returned function records its end.
func (t *Timeline) Begin(scope Scope, target, description string) (end func()) {
	f := &Fault{Scope: scope, Target: target, Description: description, From: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, f)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if f.To.IsZero() {
			f.To = time.Now()
		}
	}
}

// Windows returns the faults of a scope that have ended, with the moments of their beginning and
// end.
func (t *Timeline) Windows(scope Scope) []Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Fault
	for _, f := range t.faults {
		if f.Scope == scope && !f.To.IsZero() {
			list = append(list, *f)
		}
	}
	return list
}

// Undisturbed reports whether no fault of the scopes and of their parts affected a target
// between two moments. Faults without a target affect all targets. With an empty target,
// Undisturbed considers the faults of all targets.
func (t *Timeline) Undisturbed(from, to time.Time, target string, scopes ...Scope) bool {
	return t.free(from, to, target, func(s Scope) bool {
		return slices.Contains(scopes, s) || slices.Contains(scopes, parents[s])
	})
}

// Without is Undisturbed by the scopes themselves, without their parts.
func (t *Timeline) Without(from, to time.Time, target string, scopes ...Scope) bool {
	return t.free(from, to, target, func(s Scope) bool { return slices.Contains(scopes, s) })
}

// free reports whether no fault of a scope that counts affected a target between two moments.
func (t *Timeline) free(from, to time.Time, target string, counts func(Scope) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.faults {
		if f.From.After(to) || !f.To.IsZero() && f.To.Before(from) {
			continue
		}
		if target != "" && f.Target != "" && f.Target != target {
			continue
		}
		if counts(f.Scope) {
			return false
		}
	}
	return true
}

// Describe formats the faults in force at any time between two moments, one a line, for the
// report of a violation. Their times are relative to from.
func (t *Timeline) Describe(from, to time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var text strings.Builder
	for _, f := range t.faults {
		if f.From.After(to) || !f.To.IsZero() && f.To.Before(from) {
			continue
		}
		end := "lasts"
		if !f.To.IsZero() {
			end = f.To.Sub(from).Round(time.Millisecond).String()
		}
		fmt.Fprintf(&text, "    %s %s %s: %s to %s\n", f.Scope, f.Target, f.Description, f.From.Sub(from).Round(time.Millisecond), end)
	}
	return text.String()
}
