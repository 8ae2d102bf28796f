package catalog_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/catalog"
)

func change(revision int64, verb, noun, name string, fields ...string) catalog.Change {
	ch := catalog.Change{Revision: revision, Verb: verb, Noun: noun, Name: name}
	for i := 0; i < len(fields); i += 2 {
		ch.To = append(ch.To, catalog.Field{Name: fields[i], Value: fields[i+1]})
	}
	return ch
}

func small(t testing.TB) *catalog.Catalog {
	c := catalog.New()
	for i, ch := range []catalog.Change{
		change(1, "create", "zone", "a"),
		change(2, "create", "class", "gold", "rank", "0", "share", "0.6"),
		change(3, "create", "workspace", "w", "class", "gold", "key_hash", "h"),
		change(4, "create", "pool", "p", "zone", "a", "role", "decode", "serves", "m"),
		change(5, "create", "endpoint", "e", "pool", "p", "address", "127.0.0.1:1"),
	} {
		next, err := c.Apply(ch)
		if err != nil {
			t.Fatalf("change %d: %v", i+1, err)
		}
		c = next
	}
	return c
}

func TestApplyRefuses(t *testing.T) {
	tests := []struct {
		change catalog.Change
		want   string
	}{
		{change(7, "set", "zone", "a"), "revision 7 does not follow 5"},
		{change(6, "create", "zone", "a"), "exists already"},
		{change(6, "set", "class", "silver"), "does not exist"},
		{change(6, "create", "class", "silver", "share", "0.5"), "at most 1"},
		{change(6, "set", "class", "gold", "ttft", "soon"), "soon"},
		{change(6, "set", "class", "gold", "colour", "red"), "colour"},
		{change(6, "delete", "class", "gold"), `class "gold" does not exist`},
		{change(6, "delete", "pool", "p"), `pool "p" does not exist`},
		{change(6, "create", "planet", "x"), "unknown noun"},
		{change(6, "create", "endpoint", "f", "pool", "p", "address", "host:1"), "host:1"},
		{change(6, "set", "pool", "p", "role", "cook"), "must be one of"},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			c := qt.New(t)
			before := small(t)
			_, err := before.Apply(test.change)
			c.Assert(err, qt.ErrorMatches, ".*"+test.want+".*")
			c.Assert(before.Revision, qt.Equals, int64(5))
		})
	}
}

func TestRowsRebuildTheCatalog(t *testing.T) {
	c := qt.New(t)
	before := small(t)
	after, err := catalog.FromRows(before.Revision, before.Rows())
	c.Assert(err, qt.IsNil)
	c.Assert(after.Rows(), qt.DeepEquals, before.Rows())
	name, ok := after.WorkspaceOf("h")
	c.Assert(ok, qt.IsTrue)
	c.Assert(name, qt.Equals, "w")
}

func ExampleCatalog_Layout() {
	c := small(nil)
	c, _ = c.Apply(change(6, "set", "pool", "p", "state", "stopped"))
	for name, members := range c.Layout() {
		fmt.Println(name, members[0].Name, "draining:", members[0].Draining)
	}
	// Output: a/m/0 e draining: true
}
