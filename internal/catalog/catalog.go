// Package catalog holds the configuration that operators maintain: zones,
// classes, workspaces, kinds, pools and endpoints. It is built up by changes.
package catalog

import (
	"maps"
	"slices"

	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Error is the class of all errors of this package.
var Error = errs.Class("catalog")

// Catalog is the configuration at one revision. It is immutable: Apply returns
// a new Catalog, so readers need no lock.
type Catalog struct {
	Revision   int64
	Zones      map[string]*Zone
	Classes    map[string]*Class
	Workspaces map[string]*Workspace
	Kinds      map[string]*Kind
	Pools      map[string]*Pool
	Endpoints  map[string]*Endpoint
	byKey      map[string]string // workspace by key hash
	layouts    layouts
}

// The verbs of a change.
const (
	VerbCreate = "create"
	VerbSet    = "set"
	VerbDelete = "delete"
)

// Change is an accepted configuration command and an entry of the audit trail.
type Change struct {
	Revision int64        `cbor:"1,keyasint" json:"revision"`
	ID       string       `cbor:"2,keyasint" json:"id"` // chosen by the sender
	Actor    string       `cbor:"3,keyasint" json:"who"`
	Time     clock.Millis `cbor:"4,keyasint" json:"when"`
	Verb     string       `cbor:"5,keyasint" json:"verb"`
	Noun     string       `cbor:"6,keyasint" json:"noun"`
	Name     string       `cbor:"7,keyasint" json:"name"`
	From     []Field      `cbor:"8,keyasint,omitempty" json:"from,omitempty"`
	To       []Field      `cbor:"9,keyasint,omitempty" json:"to,omitempty"`
}

// New returns the empty catalog at revision 0.
func New() *Catalog {
	return &Catalog{
		Zones: map[string]*Zone{}, Classes: map[string]*Class{}, Workspaces: map[string]*Workspace{},
		Kinds: map[string]*Kind{}, Pools: map[string]*Pool{}, Endpoints: map[string]*Endpoint{},
		byKey: map[string]string{},
	}
}

// Apply returns the catalog with change applied. The revision of change must
// directly follow that of the catalog.
func (c *Catalog) Apply(change Change) (*Catalog, error) {
	if change.Revision != c.Revision+1 {
		return nil, Error.New("revision %d does not follow %d", change.Revision, c.Revision)
	}
	next := c.clone()
	next.Revision = change.Revision
	if err := next.apply(change); err != nil {
		return nil, Error.New("%s %s %q: %v", change.Verb, change.Noun, change.Name, err)
	}
	next.index()
	return next, nil
}

func (c *Catalog) apply(change Change) error {
	old := c.find(change.Noun, change.Name)
	switch change.Verb {
	case VerbCreate:
		if old != nil {
			return Error.New("exists already")
		}
		return c.put(change, newAggregate(change.Noun))
	case VerbSet:
		if old == nil {
			return Error.New("does not exist")
		}
		updated := newAggregate(change.Noun)
		for _, f := range old.fields() {
			if err := updated.set(f.Name, f.Value); err != nil {
				return err
			}
		}
		return c.put(change, updated)
	case VerbDelete:
		if old == nil {
			return Error.New("does not exist")
		}
		c.remove(change.Noun, change.Name)
		return c.checkAll()
	default:
		return Error.New("unknown verb")
	}
}

func (c *Catalog) put(change Change, a aggregate) error {
	if a == nil {
		return Error.New("unknown noun")
	}
	if change.Name == "" {
		return Error.New("a name must be given")
	}
	for _, f := range change.To {
		if err := a.set(f.Name, f.Value); err != nil {
			return Error.New("%s: %v", f.Name, err)
		}
	}
	c.store(change.Name, a)
	return a.check(c)
}

// OldFields returns the current values of the fields that change sets, or of all
// fields if it deletes the aggregate.
func (c *Catalog) OldFields(change Change) []Field {
	old := c.find(change.Noun, change.Name)
	if old == nil {
		return nil
	}
	if change.Verb == VerbDelete {
		return old.fields()
	}
	var from []Field
	for _, f := range old.fields() {
		if slices.ContainsFunc(change.To, func(to Field) bool { return to.Name == f.Name }) {
			from = append(from, f)
		}
	}
	return from
}

// WorkspaceOf returns the name of the workspace with this key hash.
func (c *Catalog) WorkspaceOf(keyHash string) (string, bool) {
	name, ok := c.byKey[keyHash]
	return name, ok
}

// Fields returns the fields of an aggregate; ok is false if it does not exist.
func (c *Catalog) Fields(noun, name string) (fields []Field, ok bool) {
	a := c.find(noun, name)
	if a == nil {
		return nil, false
	}
	return a.fields(), true
}

// Names returns the sorted names of all aggregates with the given noun.
func (c *Catalog) Names(noun string) []string {
	switch noun {
	case NounZone:
		return slices.Sorted(maps.Keys(c.Zones))
	case NounClass:
		return slices.Sorted(maps.Keys(c.Classes))
	case NounWorkspace:
		return slices.Sorted(maps.Keys(c.Workspaces))
	case NounKind:
		return slices.Sorted(maps.Keys(c.Kinds))
	case NounPool:
		return slices.Sorted(maps.Keys(c.Pools))
	case NounEndpoint:
		return slices.Sorted(maps.Keys(c.Endpoints))
	default:
		return nil
	}
}

func (c *Catalog) find(noun, name string) aggregate {
	switch noun {
	case NounZone:
		return lookup(c.Zones, name)
	case NounClass:
		return lookup(c.Classes, name)
	case NounWorkspace:
		return lookup(c.Workspaces, name)
	case NounKind:
		return lookup(c.Kinds, name)
	case NounPool:
		return lookup(c.Pools, name)
	case NounEndpoint:
		return lookup(c.Endpoints, name)
	default:
		return nil
	}
}

// lookup returns m[name], or a nil interface (rather than an interface that
// holds a nil pointer) if there is no such name.
func lookup[P aggregate](m map[string]P, name string) aggregate {
	a, ok := m[name]
	if !ok {
		return nil
	}
	return a
}

func (c *Catalog) store(name string, a aggregate) {
	switch v := a.(type) {
	case *Zone:
		c.Zones[name] = v
	case *Class:
		c.Classes[name] = v
	case *Workspace:
		c.Workspaces[name] = v
	case *Kind:
		c.Kinds[name] = v
	case *Pool:
		c.Pools[name] = v
	case *Endpoint:
		c.Endpoints[name] = v
	}
}

func (c *Catalog) remove(noun, name string) {
	switch noun {
	case NounZone:
		delete(c.Zones, name)
	case NounClass:
		delete(c.Classes, name)
	case NounWorkspace:
		delete(c.Workspaces, name)
	case NounKind:
		delete(c.Kinds, name)
	case NounPool:
		delete(c.Pools, name)
	case NounEndpoint:
		delete(c.Endpoints, name)
	}
}

// checkAll checks every aggregate, to find references to a deleted one.
func (c *Catalog) checkAll() error {
	for _, noun := range Nouns() {
		for _, name := range c.Names(noun) {
			if err := c.find(noun, name).check(c); err != nil {
				return Error.New("%s %q: %v", noun, name, err)
			}
		}
	}
	return nil
}

func (c *Catalog) clone() *Catalog {
	return &Catalog{
		Revision: c.Revision, Zones: maps.Clone(c.Zones), Classes: maps.Clone(c.Classes),
		Workspaces: maps.Clone(c.Workspaces), Kinds: maps.Clone(c.Kinds),
		Pools: maps.Clone(c.Pools), Endpoints: maps.Clone(c.Endpoints),
	}
}

func (c *Catalog) index() {
	c.byKey = make(map[string]string, len(c.Workspaces))
	for name, w := range c.Workspaces {
		if w.KeyHash != "" {
			c.byKey[w.KeyHash] = name
		}
	}
}
