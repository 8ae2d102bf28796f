package route

import (
	"crypto/sha256"
	"math"
)

// Key is the digest of an API key. The key itself is discarded after decoding, so that no
// table, log line or message between instances can contain it, and a lookup takes the same
// time whether or not a key is close to an existing one.
type Key [16]byte

// KeyOf returns the digest of an API key.
func KeyOf(secret string) Key {
	sum := sha256.Sum256([]byte(secret))
	return Key(sum[:16])
}

// Workspace is a tenant, identified by its API keys.
type Workspace struct {
	Name     string
	Keys     []Key
	Priority int      // overrides the route's priority if Ranked
	Ranked   bool     // Priority is set
	Regions  []string // regions where its requests may be served; empty: all
	Limit    Limit
}

// Limit is the rate limit of a workspace across all instances.
type Limit struct {
	Rate   float64 // units per second; 0: no limit
	Burst  float64 // units allowed in addition to Rate
	Tokens bool    // units are tokens rather than requests
	Plain  float64 // tokens counted for a request that does not state its own
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns the number of units that a request counts. known says whether its number of
// tokens is known.
func (l Limit) Cost(tokens int, known bool) float64 {
	switch {
	case !l.Tokens:
		return 1
	case known:
		return float64(tokens)
	default:
		return l.Plain
	}
}

// check returns an error that names the first invalid field.
func (l Limit) check(workspace string) error {
	fields := []struct {
		name  string
		value float64
	}{{"rate", l.Rate}, {"burst", l.Burst}, {"tokens of a plain request", l.Plain}}
	for _, f := range fields {
		if f.value < 0 || math.IsNaN(f.value) || math.IsInf(f.value, 0) {
			return Error.New("workspace %q: %s %v must be finite and not negative", workspace, f.name, f.value)
		}
	}
	return nil
}

// addWorkspaces indexes workspaces by their keys. Errors contain no key.
func (t *Table) addWorkspaces(all []Workspace) error {
	names := map[string]bool{}
	for i := range all {
		w := &all[i]
		if w.Name == "" {
			return Error.New("workspace %d: has no name", i)
		}
		if names[w.Name] {
			return Error.New("workspace %q: stands there twice", w.Name)
		}
		names[w.Name] = true
		if err := w.Limit.check(w.Name); err != nil {
			return err
		}
		for n, k := range w.Keys {
			if other := t.workspaces[k]; other != nil && other != w {
				return Error.New("workspace %q: key %d is held by workspace %q too", w.Name, n, other.Name)
			}
			t.workspaces[k] = w
		}
	}
	return nil
}

// Workspace returns the workspace that a key belongs to, or nil.
func (t *Table) Workspace(k Key) *Workspace { return t.workspaces[k] }

// RequiresKey reports whether requests need a key, except on open routes.
func (t *Table) RequiresKey() bool { return t.document.Keyed }

// Workspaces returns all workspaces, which must not be modified.
func (t *Table) Workspaces() []Workspace { return t.document.Workspaces }
