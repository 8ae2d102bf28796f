package operator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/query"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Tables besides those of the aggregates.
const (
	tableRunning = "running"
	tableWaiting = "waiting"
	tableLoad    = "load"
	tableCells   = "cells"
	tableMembers = "members"
	tableAudit   = "audit"
	tableExplain = "explain"
)

var (
	runningColumns = []string{"attempt", "workspace", "kind", "class", "phase", "entry", "prefill", "decode", "age", "cell"}
	waitingColumns = []string{"cell", "position", "attempt", "workspace", "kind", "class", "entry", "age", "left", "why"}
	loadColumns    = []string{"endpoint", "cell", "role", "state", "used", "slots", "pending", "unclaimed", "reported", "heard"}
	cellColumns    = []string{"cell", "dispatcher", "free", "waiting", "wait", "age"}
	memberColumns  = []string{"member", "zone", "address", "started", "revision", "state"}
	auditColumns   = []string{"revision", "when", "who", "verb", "noun", "name", "from", "to"}
	explainColumns = []string{"at", "attempt", "what", "wait", "prefill", "cached", "link", "step", "budget"}
)

// rows returns the rows of a table for the whole fleet.
func (e *Executor) rows(ctx context.Context, table string) (query.Table, error) {
	switch table {
	case tableRunning, tableWaiting, tableLoad:
		return e.gather(ctx, rowsRequest{Table: table}), nil
	case tableCells:
		return e.cellRows(), nil
	case tableMembers:
		return e.memberRows(), nil
	case tableAudit:
		return e.auditRows(), nil
	}
	for _, noun := range catalog.Nouns() {
		if table == noun || table == plural(noun) {
			return e.aggregateRows(noun), nil
		}
	}
	return query.Table{}, Error.New("unknown table %q; available tables: %s", table, strings.Join(TableNames(), ", "))
}

// TableNames returns the names of all tables that a show statement can list.
func TableNames() []string {
	all := []string{tableRunning, tableWaiting, tableLoad, tableCells, tableMembers, tableAudit}
	for _, noun := range catalog.Nouns() {
		all = append(all, plural(noun))
	}
	return all
}

func plural(noun string) string {
	if strings.HasSuffix(noun, "s") {
		return noun + "es"
	}
	return noun + "s"
}

// ownRows returns the rows of the cells that this process dispatches.
func (e *Executor) ownRows(req rowsRequest) query.Table {
	var t query.Table
	now := e.options.Now()
	e.dispatcher.ForEachCell(func(name catalog.Cell, c *cell.Cell) {
		switch req.Table {
		case tableRunning:
			addRunning(&t, now, name, c)
		case tableWaiting:
			addWaiting(&t, now, name, c)
		case tableLoad:
			addLoad(&t, now, name, c)
		case tableExplain:
			addDecisions(&t, req.Request, c)
		}
	})
	return t
}

func addRunning(t *query.Table, now clock.Millis, name catalog.Cell, c *cell.Cell) {
	t.Columns = runningColumns
	for _, r := range c.Running() {
		t.Add(string(r.Attempt), r.Workspace, r.Kind, r.Class, r.Phase, r.Entry, r.Prefill, r.Decode,
			now.Sub(r.Since).String(), name.String())
	}
}

func addWaiting(t *query.Table, now clock.Millis, name catalog.Cell, c *cell.Cell) {
	t.Columns = waitingColumns
	for _, w := range c.Waiting(now) {
		t.Add(name.String(), strconv.Itoa(w.Position), string(w.Request.Attempt), w.Request.Workspace, w.Request.Kind,
			w.Request.Class, w.Request.Owner.Node, now.Sub(w.Since).String(), w.Deadline.Sub(now).String(), "waits for "+w.WaitingFor)
	}
}

func addLoad(t *query.Table, now clock.Millis, name catalog.Cell, c *cell.Cell) {
	t.Columns = loadColumns
	for _, s := range c.Endpoints() {
		state := "open"
		switch {
		case s.ReportedAt == 0:
			state = "unheard"
		case s.Unreachable:
			state = "silent"
		case s.Draining:
			state = "draining"
		case s.Ejected:
			state = "ejected"
		}
		lastReport := "never"
		if s.ReportedAt > 0 {
			lastReport = now.Sub(s.ReportedAt).String()
		}
		t.Add(s.Name, name.String(), s.Role, state, strconv.Itoa(s.Used), strconv.Itoa(s.Slots),
			strconv.Itoa(s.Pending), strconv.Itoa(s.Orphans), strconv.Itoa(s.ReportedRunning), lastReport)
	}
}

func addDecisions(t *query.Table, requestID string, c *cell.Cell) {
	t.Columns = explainColumns
	for _, e := range c.Explain(requestID) {
		t.Add(formatTime(e.At), string(e.Attempt), e.Action, e.Terms.Wait.String(), formatDuration(e.Terms.Prefill),
			strconv.Itoa(e.Terms.Cached), formatDuration(e.Terms.Link), formatDuration(e.Terms.Step), e.Terms.Budget.String())
	}
}

func formatDuration(t time.Duration) string { return t.Round(100 * time.Microsecond).String() }

func formatTime(m clock.Millis) string { return m.Time().Format("2006-01-02T15:04:05.000Z") }

func (e *Executor) cellRows() query.Table {
	t := query.Table{Columns: cellColumns}
	now := e.options.Now()
	for _, s := range e.options.Cells() {
		t.Add(s.Cell.String(), s.Node, strconv.Itoa(s.Headroom.Free), strconv.Itoa(s.Headroom.Waiting),
			formatDuration(s.Headroom.Wait), now.Sub(s.Stamp).String())
	}
	return t
}

func (e *Executor) memberRows() query.Table {
	t := query.Table{Columns: memberColumns}
	for _, m := range e.options.Members() {
		state := "live"
		if m.Leaving {
			state = "leaving"
		}
		t.Add(m.ID, m.Zone, m.Address.String(), formatTime(clock.Millis(m.Incarnation)), strconv.FormatInt(m.Revision, 10), state)
	}
	return t
}

func (e *Executor) auditRows() query.Table {
	t := query.Table{Columns: auditColumns}
	for _, ch := range e.log.History() {
		t.Add(auditRow(ch)...)
	}
	return t
}

func auditRow(ch catalog.Change) []string {
	revision := fmt.Sprintf("%6d", ch.Revision)
	return []string{revision, formatTime(ch.Time), ch.Actor, ch.Verb, ch.Noun, ch.Name, joinFields(ch.From), joinFields(ch.To)}
}

func joinFields(fields []catalog.Field) string {
	var parts []string
	for _, f := range fields {
		parts = append(parts, f.Name+"="+f.Value)
	}
	return strings.Join(parts, " ")
}

func (e *Executor) aggregateRows(noun string) query.Table {
	t := query.Table{Columns: []string{noun}}
	c := e.log.Current()
	for _, name := range c.Names(noun) {
		fields, _ := c.Fields(noun, name)
		row := []string{name}
		columns := []string{noun}
		for _, f := range fields {
			columns = append(columns, f.Name)
			row = append(row, f.Value)
		}
		t.Columns = columns
		t.Add(row...)
	}
	return t
}
