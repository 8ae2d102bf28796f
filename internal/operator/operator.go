// Package operator executes the statements of operators on any process. It requests
// from other processes the rows that only they have, and submits commands to the
// change log.
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

// Error is the class of all errors of this package.
var Error = errs.Class("operator")

const (
	topicRows   = "operator.rows"
	rowsTimeout = time.Second // timeout of a request for the rows of another process
)

// Options are the settings and dependencies of an Executor.
type Options struct {
	Zone string
	Now  func() clock.Millis
	// Members returns the known running processes, this one among them.
	Members func() []member.Member
	// Cells returns the status of the known cells.
	Cells func() []member.CellStatus
}

// Executor executes statements of operators.
type Executor struct {
	options    Options
	log        *changelog.Log
	dispatcher *dispatcher.Dispatcher
	transport  *peer.Transport
}

// New returns an Executor.
func New(o Options, l *changelog.Log, d *dispatcher.Dispatcher, t *peer.Transport) *Executor {
	return &Executor{options: o, log: l, dispatcher: d, transport: t}
}

// rowsRequest asks a process for its own rows or, if WholeZone is set, for those of all
// processes in its zone.
type rowsRequest struct {
	Table     string `cbor:"1,keyasint"`
	Request   string `cbor:"2,keyasint"`
	WholeZone bool   `cbor:"3,keyasint"`
}

// Register adds the handler for row requests from other processes.
func (e *Executor) Register(r *message.Router) {
	peer.HandleCall(r, e.transport, topicRows, func(ctx context.Context, _ peer.Sender, req rowsRequest) query.Table {
		if req.WholeZone {
			return e.zoneRows(ctx, req)
		}
		return e.ownRows(req)
	})
}

// Execute executes one statement for the operator named who. Base is the configuration
// revision on which the operator based a command; 0 means the current revision.
func (e *Executor) Execute(ctx context.Context, text, who string, base int64) (query.Table, error) {
	s, err := query.Parse(text)
	if err != nil {
		return query.Table{}, err
	}
	var t query.Table
	switch {
	case s.Show != nil:
		t, err = e.show(ctx, s.Show)
	case s.Explain != nil:
		t = e.gather(ctx, rowsRequest{Table: tableExplain, Request: s.Explain.Request})
		err = t.Filter(nil, 0)
	default:
		t, err = e.submitCommand(ctx, s, who, base)
	}
	t.Revision = e.log.Current().Revision
	return t, err
}

func (e *Executor) show(ctx context.Context, s *query.Show) (query.Table, error) {
	t, err := e.rows(ctx, s.What)
	if err != nil {
		return t, err
	}
	return t, t.Filter(s.Where, s.Limit)
}

// submitCommand submits a command as a change of one aggregate and returns its audit row.
func (e *Executor) submitCommand(ctx context.Context, s *query.Statement, who string, base int64) (query.Table, error) {
	ch := catalog.Change{ID: uuid.NewString(), Actor: who, Time: e.options.Now()}
	switch {
	case s.Create != nil:
		ch.Verb, ch.Noun, ch.Name, ch.To = catalog.VerbCreate, s.Create.Noun, s.Create.Name, assignedFields(s.Create)
	case s.Set != nil:
		ch.Verb, ch.Noun, ch.Name, ch.To = catalog.VerbSet, s.Set.Noun, s.Set.Name, assignedFields(s.Set)
	case s.Delete != nil:
		ch.Verb, ch.Noun, ch.Name = catalog.VerbDelete, s.Delete.Noun, s.Delete.Name
	default:
		var err error
		if ch, err = stateChange(ch, s); err != nil {
			return query.Table{}, err
		}
	}
	if base == 0 {
		base = e.log.Current().Revision
	}
	done, err := e.log.Submit(ctx, ch, base)
	if err != nil {
		return query.Table{}, Error.Wrap(err)
	}
	t := query.Table{Columns: auditColumns}
	t.Add(auditRow(done)...)
	return t, nil
}

// assignedFields returns the assignments of an edit. The key of a workspace is replaced
// by its hash, so that the key itself is not stored.
func assignedFields(e *query.Edit) []catalog.Field {
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

// stateCommands lists the commands that set the state of an endpoint or pool.
var stateCommands = []struct {
	target func(*query.Statement) *query.Target
	noun   string
	state  string
}{
	{func(s *query.Statement) *query.Target { return s.Drain }, catalog.NounEndpoint, catalog.EndpointDraining},
	{func(s *query.Statement) *query.Target { return s.Undrain }, catalog.NounEndpoint, catalog.EndpointServing},
	{func(s *query.Statement) *query.Target { return s.Stop }, catalog.NounPool, catalog.PoolStopped},
	{func(s *query.Statement) *query.Target { return s.Start }, catalog.NounPool, catalog.PoolRunning},
}

// stateChange fills in a change from a command of stateCommands.
func stateChange(ch catalog.Change, s *query.Statement) (catalog.Change, error) {
	for _, command := range stateCommands {
		target := command.target(s)
		if target == nil {
			continue
		}
		if target.Noun != command.noun {
			return ch, Error.New("this command requires a %s, not a %s", command.noun, target.Noun)
		}
		ch.Verb, ch.Noun, ch.Name = catalog.VerbSet, target.Noun, target.Name
		ch.To = []catalog.Field{{Name: "state", Value: command.state}}
		return ch, nil
	}
	return ch, Error.New("unsupported command")
}

// gather collects rows from all processes: directly in the own zone, and through one
// process of each other zone.
func (e *Executor) gather(ctx context.Context, req rowsRequest) query.Table {
	byZone := map[string][]member.Member{}
	for _, m := range e.options.Members() {
		if m.Zone != e.options.Zone {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	queries := []func() query.Table{func() query.Table { return e.zoneRows(ctx, req) }}
	zoneReq := req
	zoneReq.WholeZone = true
	for zone, contacts := range byZone {
		queries = append(queries, func() query.Table { return e.queryZone(ctx, zone, contacts, zoneReq) })
	}
	all := runQueries(queries)
	slices.Sort(all.Missing)
	return all
}

// runQueries runs the queries concurrently and merges the answers.
func runQueries(queries []func() query.Table) query.Table {
	var mu sync.Mutex
	var group sync.WaitGroup
	var all query.Table
	for _, fetch := range queries {
		group.Go(func() {
			t := fetch()
			mu.Lock()
			defer mu.Unlock()
			all.Merge(t)
		})
	}
	group.Wait()
	return all
}

// queryZone returns the rows of another zone from the first of its processes that
// answers.
func (e *Executor) queryZone(ctx context.Context, zone string, contacts []member.Member, req rowsRequest) query.Table {
	for _, m := range contacts {
		if t, err := e.requestRows(ctx, m, req); err == nil {
			return t
		}
	}
	return query.Table{Missing: []string{"zone " + zone}}
}

// zoneRows collects the rows of all processes in the own zone.
func (e *Executor) zoneRows(ctx context.Context, req rowsRequest) query.Table {
	req.WholeZone = false
	queries := []func() query.Table{func() query.Table { return e.ownRows(req) }}
	for _, m := range e.options.Members() {
		if m.Zone != e.options.Zone || m.Address == e.transport.Address() {
			continue
		}
		queries = append(queries, func() query.Table {
			t, err := e.requestRows(ctx, m, req)
			if err != nil {
				return query.Table{Missing: []string{m.ID}}
			}
			return t
		})
	}
	return runQueries(queries)
}

func (e *Executor) requestRows(ctx context.Context, m member.Member, req rowsRequest) (query.Table, error) {
	timeout := rowsTimeout
	if req.WholeZone {
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peer.Call[rowsRequest, query.Table](ctx, e.transport, m.Address, topicRows, req)
}
