// Package operator answers operators' statements on any process: it asks the
// others for what only they know, and submits commands to the change log.
package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/changelog"
	"github.com/trailshed/trailshed/internal/dispatcher"
	"github.com/trailshed/trailshed/internal/member"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/query"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("operator")

const (
	topicRows = "operator.rows"
	hearLimit = time.Second // how long to wait for another process's rows
)

// Options are the seams of an operator's desk.
type Options struct {
	Zone string
	Now  func() clock.Millis
	// Members returns the known live processes.
	Members func() []member.Member
	Cells   func() []member.CellStatus
}

// Desk answers statements.
type Desk struct {
	options    Options
	log        *changelog.Log
	dispatcher *dispatcher.Dispatcher
	transport  *peer.Transport
}

// New returns a desk.
func New(o Options, l *changelog.Log, d *dispatcher.Dispatcher, t *peer.Transport) *Desk {
	return &Desk{options: o, log: l, dispatcher: d, transport: t}
}

// rowsQuestion asks a process for its own rows, with Spread for those of its
// whole zone.
type rowsQuestion struct {
	What    string `cbor:"1,keyasint"`
	Request string `cbor:"2,keyasint"`
	Spread  bool   `cbor:"3,keyasint"`
}

// Register adds the handler of other processes' questions.
func (d *Desk) Register(r *message.Router) {
	peer.Answer(r, d.transport, topicRows, func(ctx context.Context, _ peer.Sender, q rowsQuestion) query.Table {
		if q.Spread {
			return d.zoneRows(ctx, q)
		}
		return d.ownRows(q)
	})
}

// Do answers one statement for the operator called who. Base is the revision
// that a command was decided on; 0 stands for the present one.
func (d *Desk) Do(ctx context.Context, text, who string, base int64) (query.Table, error) {
	s, err := query.Parse(text)
	if err != nil {
		return query.Table{}, err
	}
	var t query.Table
	switch {
	case s.Show != nil:
		t, err = d.show(ctx, s.Show)
	case s.Explain != nil:
		t = d.gather(ctx, rowsQuestion{What: whatExplain, Request: s.Explain.Request})
		err = t.Filter(nil, 0)
	default:
		t, err = d.change(ctx, s, who, base)
	}
	t.Revision = d.log.Current().Revision
	return t, err
}

func (d *Desk) show(ctx context.Context, s *query.Show) (query.Table, error) {
	t, err := d.shown(ctx, s.What)
	if err != nil {
		return t, err
	}
	return t, t.Filter(s.Where, s.Limit)
}

// change turns a command into a change of one aggregate.
func (d *Desk) change(ctx context.Context, s *query.Statement, who string, base int64) (query.Table, error) {
	ch := catalog.Change{ID: uuid.NewString(), Who: who, When: d.options.Now()}
	switch {
	case s.Create != nil:
		ch.Verb, ch.Noun, ch.Name, ch.To = catalog.VerbCreate, s.Create.Noun, s.Create.Name, fields(s.Create)
	case s.Set != nil:
		ch.Verb, ch.Noun, ch.Name, ch.To = catalog.VerbSet, s.Set.Noun, s.Set.Name, fields(s.Set)
	case s.Delete != nil:
		ch.Verb, ch.Noun, ch.Name = catalog.VerbDelete, s.Delete.Noun, s.Delete.Name
	default:
		var err error
		if ch, err = stateChange(ch, s); err != nil {
			return query.Table{}, err
		}
	}
	if base == 0 {
		base = d.log.Current().Revision
	}
	done, err := d.log.Submit(ctx, ch, base)
	if err != nil {
		return query.Table{}, Error.Wrap(err)
	}
	t := query.Table{Columns: auditColumns}
	t.Add(auditRow(done)...)
	return t, nil
}

// fields reads an edit's assignments. A workspace's key is kept only as a hash.
func fields(e *query.Edit) []catalog.Field {
	var all []catalog.Field
	for _, a := range e.Fields {
		f := catalog.Field{Name: a.Field, Value: a.Value}
		if e.Noun == catalog.NounWorkspace && f.Name == "key" {
			sum := sha256.Sum256([]byte(f.Value))
			f = catalog.Field{Name: "key_hash", Value: hex.EncodeToString(sum[:])}
		}
		all = append(all, f)
	}
	return all
}

// states are the words for setting an endpoint's or a pool's state.
var states = []struct {
	verb  func(*query.Statement) *query.Target
	noun  string
	state string
}{
	{func(s *query.Statement) *query.Target { return s.Drain }, catalog.NounEndpoint, catalog.EndpointDraining},
	{func(s *query.Statement) *query.Target { return s.Undrain }, catalog.NounEndpoint, catalog.EndpointServing},
	{func(s *query.Statement) *query.Target { return s.Stop }, catalog.NounPool, catalog.PoolStopped},
	{func(s *query.Statement) *query.Target { return s.Start }, catalog.NounPool, catalog.PoolRunning},
}

func stateChange(ch catalog.Change, s *query.Statement) (catalog.Change, error) {
	for _, st := range states {
		target := st.verb(s)
		if target == nil {
			continue
		}
		if target.Noun != st.noun {
			return ch, Error.New("this command takes a %s, not a %s", st.noun, target.Noun)
		}
		ch.Verb, ch.Noun, ch.Name = catalog.VerbSet, target.Noun, target.Name
		ch.To = []catalog.Field{{Name: "state", Value: st.state}}
		return ch, nil
	}
	return ch, Error.New("not a command")
}

// gather asks the own zone's processes and one contact of every other zone.
func (d *Desk) gather(ctx context.Context, q rowsQuestion) query.Table {
	byZone := map[string][]member.Member{}
	for _, m := range d.options.Members() {
		if m.Zone != d.options.Zone {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	asks := []func() query.Table{func() query.Table { return d.zoneRows(ctx, q) }}
	spread := q
	spread.Spread = true
	for zone, contacts := range byZone {
		asks = append(asks, func() query.Table { return d.askFirst(ctx, zone, contacts, spread) })
	}
	all := together(asks)
	slices.Sort(all.Unheard)
	return all
}

// together asks at the same time and merges the answers.
func together(asks []func() query.Table) query.Table {
	var mu sync.Mutex
	var group sync.WaitGroup
	var all query.Table
	for _, ask := range asks {
		group.Go(func() {
			t := ask()
			mu.Lock()
			defer mu.Unlock()
			all.Merge(t)
		})
	}
	group.Wait()
	return all
}

// askFirst takes the answer of the first contact that gives one.
func (d *Desk) askFirst(ctx context.Context, zone string, contacts []member.Member, q rowsQuestion) query.Table {
	for _, m := range contacts {
		if t, err := d.ask(ctx, m, q); err == nil {
			return t
		}
	}
	return query.Table{Unheard: []string{"zone " + zone}}
}

func (d *Desk) zoneRows(ctx context.Context, q rowsQuestion) query.Table {
	q.Spread = false
	asks := []func() query.Table{func() query.Table { return d.ownRows(q) }}
	for _, m := range d.options.Members() {
		if m.Zone != d.options.Zone || m.Address == d.transport.Address() {
			continue
		}
		asks = append(asks, func() query.Table {
			t, err := d.ask(ctx, m, q)
			if err != nil {
				return query.Table{Unheard: []string{m.ID}}
			}
			return t
		})
	}
	return together(asks)
}

func (d *Desk) ask(ctx context.Context, m member.Member, q rowsQuestion) (query.Table, error) {
	limit := hearLimit
	if q.Spread {
		limit *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return peer.Ask[rowsQuestion, query.Table](ctx, d.transport, m.Address, topicRows, q)
}
