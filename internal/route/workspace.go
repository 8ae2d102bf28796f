package route

import (
	"crypto/sha256"
	"math"
)

// Key is the digest of an API key. The key itself is forgotten once it is
// decoded, so that no table, log line or message between instances can hold it,
// and a lookup takes as long for a key that is near a known one as for any other.
type Key [16]byte

// KeyOf returns the digest of an API key.
func KeyOf(secret string) Key {
	sum := sha256.Sum256([]byte(secret))
	return Key(sum[:16])
}

// Workspace is one of those whose requests come with a key of its own.
type Workspace struct {
	Name     string
	Keys     []Key
	Priority int      // goes before the route's, if Ranked
	Ranked   bool     // Priority is given
	Regions  []string // where its requests may be served; none: anywhere
	Limit    Limit
}

// Limit bounds what a workspace may ask of all instances together.
type Limit struct {
	Rate   float64 // units a second; 0: no limit
	Burst  float64 // units besides
	Tokens bool    // a unit is a token; else it is a request
	Plain  float64 // tokens that a request counts which does not tell its own
}

// Bound says whether there is a limit.
func (l Limit) Bound() bool { return l.Rate > 0 }

// Cost is how many units a request counts, of whose tokens told says whether
// they are known.
func (l Limit) Cost(tokens int, told bool) float64 {
	switch {
	case !l.Tokens:
		return 1
	case told:
		return float64(tokens)
	default:
		return l.Plain
	}
}

// check names the field that is wrong.
func (l Limit) check(workspace string) error {
	fields := []struct {
		name  string
		value float64
	}{{"rate", l.Rate}, {"burst", l.Burst}, {"tokens of a plain request", l.Plain}}
	for _, f := range fields {
		if f.value < 0 || math.IsNaN(f.value) || math.IsInf(f.value, 0) {
			return Error.New("workspace %q: %s %v must not be below nothing", workspace, f.name, f.value)
		}
	}
	return nil
}

// addWorkspaces indexes workspaces by their keys. Errors name no key.
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

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(k Key) *Workspace { return t.workspaces[k] }

// Keyed says whether requests need a key, but for those on open routes.
func (t *Table) Keyed() bool { return t.document.Keyed }

// Workspaces are all workspaces; they must not be changed.
func (t *Table) Workspaces() []Workspace { return t.document.Workspaces }
