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

// What can be shown besides the aggregates.
const (
	whatRunning = "running"
	whatWaiting = "waiting"
	whatLoad    = "load"
	whatCells   = "cells"
	whatMembers = "members"
	whatAudit   = "audit"
	whatExplain = "explain"
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

// shown returns the rows of a noun, of the whole fleet.
func (d *Desk) shown(ctx context.Context, what string) (query.Table, error) {
	switch what {
	case whatRunning, whatWaiting, whatLoad:
		return d.gather(ctx, rowsQuestion{What: what}), nil
	case whatCells:
		return d.cellRows(), nil
	case whatMembers:
		return d.memberRows(), nil
	case whatAudit:
		return d.auditRows(), nil
	}
	for _, noun := range catalog.Nouns() {
		if what == noun || what == plural(noun) {
			return d.aggregateRows(noun), nil
		}
	}
	return query.Table{}, Error.New("cannot show %q; there are %s", what, strings.Join(Shows(), ", "))
}

// Shows lists what can be shown.
func Shows() []string {
	all := []string{whatRunning, whatWaiting, whatLoad, whatCells, whatMembers, whatAudit}
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

// ownRows returns what only this process knows.
func (d *Desk) ownRows(q rowsQuestion) query.Table {
	var t query.Table
	now := d.options.Now()
	d.dispatcher.Each(func(name catalog.Cell, c *cell.Cell) {
		switch q.What {
		case whatRunning:
			addRunning(&t, now, name, c)
		case whatWaiting:
			addWaiting(&t, now, name, c)
		case whatLoad:
			addLoad(&t, now, name, c)
		case whatExplain:
			addDecisions(&t, q.Request, c)
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
		t.Add(name.String(), strconv.Itoa(w.Position), string(w.Ask.Attempt), w.Ask.Workspace, w.Ask.Kind,
			w.Ask.Class, w.Ask.Owner.Node, now.Sub(w.Since).String(), w.Deadline.Sub(now).String(), "waits for "+w.Why)
	}
}

func addLoad(t *query.Table, now clock.Millis, name catalog.Cell, c *cell.Cell) {
	t.Columns = loadColumns
	for _, s := range c.Endpoints() {
		state := "open"
		switch {
		case s.Heard == 0:
			state = "unheard"
		case s.Silent:
			state = "silent"
		case s.Draining:
			state = "draining"
		case s.Ejected:
			state = "ejected"
		}
		heard := "never"
		if s.Heard > 0 {
			heard = now.Sub(s.Heard).String()
		}
		t.Add(s.Name, name.String(), s.Role, state, strconv.Itoa(s.Used), strconv.Itoa(s.Slots),
			strconv.Itoa(s.Pending), strconv.Itoa(s.Strange), strconv.Itoa(s.Reported), heard)
	}
}

func addDecisions(t *query.Table, request string, c *cell.Cell) {
	t.Columns = explainColumns
	for _, e := range c.Explain(request) {
		t.Add(stamp(e.At), string(e.Attempt), e.What, e.Terms.Wait.String(), rounded(e.Terms.Prefill),
			strconv.Itoa(e.Terms.Cached), rounded(e.Terms.Link), rounded(e.Terms.Step), e.Terms.Budget.String())
	}
}

func rounded(t time.Duration) string { return t.Round(100 * time.Microsecond).String() }

func stamp(m clock.Millis) string { return m.Time().Format("2006-01-02T15:04:05.000Z") }

func (d *Desk) cellRows() query.Table {
	t := query.Table{Columns: cellColumns}
	now := d.options.Now()
	for _, s := range d.options.Cells() {
		t.Add(s.Cell.String(), s.Node, strconv.Itoa(s.Digest.Free), strconv.Itoa(s.Digest.Waiting),
			rounded(s.Digest.Wait), now.Sub(s.Stamp).String())
	}
	return t
}

func (d *Desk) memberRows() query.Table {
	t := query.Table{Columns: memberColumns}
	for _, m := range d.options.Members() {
		state := "live"
		if m.Leaving {
			state = "leaving"
		}
		t.Add(m.ID, m.Zone, m.Address.String(), stamp(clock.Millis(m.Incarnation)), strconv.FormatInt(m.Revision, 10), state)
	}
	return t
}

func (d *Desk) auditRows() query.Table {
	t := query.Table{Columns: auditColumns}
	for _, ch := range d.log.History() {
		t.Add(auditRow(ch)...)
	}
	return t
}

func auditRow(ch catalog.Change) []string {
	revision := fmt.Sprintf("%6d", ch.Revision)
	return []string{revision, stamp(ch.When), ch.Who, ch.Verb, ch.Noun, ch.Name, joinFields(ch.From), joinFields(ch.To)}
}

func joinFields(fields []catalog.Field) string {
	var parts []string
	for _, f := range fields {
		parts = append(parts, f.Name+"="+f.Value)
	}
	return strings.Join(parts, " ")
}

func (d *Desk) aggregateRows(noun string) query.Table {
	t := query.Table{Columns: []string{noun}}
	c := d.log.Current()
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
