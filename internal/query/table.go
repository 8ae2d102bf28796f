package query

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Table is the answer to a statement, collected from one or several nodes.
type Table struct {
	Columns  []string   `cbor:"1,keyasint" json:"columns"`
	Rows     [][]string `cbor:"2,keyasint" json:"rows"`
	Missing  []string   `cbor:"3,keyasint" json:"unheard"` // nodes and zones that did not answer, so that their rows are missing
	Revision int64      `cbor:"4,keyasint" json:"revision"`
}

// Add appends a row.
func (t *Table) Add(values ...string) { t.Rows = append(t.Rows, values) }

// Merge appends the rows of another node's answer. The columns of the first answer stay.
func (t *Table) Merge(o Table) {
	if len(t.Columns) == 0 {
		t.Columns = o.Columns
	}
	t.Rows = append(t.Rows, o.Rows...)
	t.Missing = append(t.Missing, o.Missing...)
}

// Filter keeps the rows that match all conditions, sorts them and cuts them off
// at limit if it is positive.
func (t *Table) Filter(where []Condition, limit int) error {
	for _, c := range where {
		column := slices.Index(t.Columns, c.Column)
		if column < 0 {
			return Error.New("unknown column %q; available columns: %s", c.Column, strings.Join(t.Columns, ", "))
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(r []string) bool { return r[column] != c.Value })
	}
	slices.SortStableFunc(t.Rows, slices.Compare)
	if limit > 0 && len(t.Rows) > limit {
		t.Rows = t.Rows[:limit]
	}
	return nil
}

// Write prints the table in aligned columns, followed by the nodes that did not answer.
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(t.Columns) > 0 {
		_, _ = fmt.Fprintln(tw, strings.ToUpper(strings.Join(t.Columns, "\t")))
	}
	for _, r := range t.Rows {
		_, _ = fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if len(t.Missing) > 0 {
		_, _ = fmt.Fprintln(w, "not heard:", strings.Join(t.Missing, ", "))
	}
	return nil
}
