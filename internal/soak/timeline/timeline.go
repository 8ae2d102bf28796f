// Package timeline remembers which faults were in force when, so that bounds on
// time are demanded only of what was undisturbed.
package timeline

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Scope is what a fault strikes.
type Scope string

// Scopes of faults.
const (
	Process  Scope = "process"  // an instance is killed, paused, stopped or starting
	Planned  Scope = "planned"  // an instance is being stopped in order
	Peers    Scope = "peers"    // the ways between instances
	Store    Scope = "store"    // the store, for everybody
	Door     Scope = "door"     // the store, for one instance
	Endpoint Scope = "endpoint" // an endpoint or the link to it
	Load     Scope = "load"     // an endpoint turns requests away, and says so
)

// Fault is one disturbance of a target, which is a name or, if empty, all.
type Fault struct {
	Scope  Scope
	Target string
	What   string
	From   time.Time
	To     time.Time // zero while it lasts
}

// Timeline is the list of faults. It is safe for concurrent use.
type Timeline struct {
	mu     sync.Mutex
	faults []*Fault
}

// Begin notes a fault and returns what ends it.
func (t *Timeline) Begin(scope Scope, target, what string) (end func()) {
	f := &Fault{Scope: scope, Target: target, What: what, From: time.Now()}
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

// Calm says whether no fault of the scopes touched a target, or all, between
// two moments. An empty target asks for faults of any target.
func (t *Timeline) Calm(from, to time.Time, target string, scopes ...Scope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.faults {
		if f.From.After(to) || !f.To.IsZero() && f.To.Before(from) {
			continue
		}
		if target != "" && f.Target != "" && f.Target != target {
			continue
		}
		for _, s := range scopes {
			if f.Scope == s {
				return false
			}
		}
	}
	return true
}

// Around lists the faults that touched the time between two moments, for a
// report.
func (t *Timeline) Around(from, to time.Time) string {
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
		fmt.Fprintf(&text, "    %s %s %s: %s to %s\n", f.Scope, f.Target, f.What, f.From.Sub(from).Round(time.Millisecond), end)
	}
	return text.String()
}
