package catalog_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/catalog"
)

func newChange(revision int64, verb, noun, name string, fields ...string) catalog.Change {
	ch := catalog.Change{Revision: revision, Verb: verb, Noun: noun, Name: name}
	for i := 0; i < len(fields); i += 2 {
		ch.To = append(ch.To, catalog.Field{Name: fields[i], Value: fields[i+1]})
	}
	return ch
}

func smallCatalog(t testing.TB) *catalog.Catalog {
	c := catalog.New()
	for i, ch := range []catalog.Change{
		newChange(1, "create", "zone", "a"),
		newChange(2, "create", "class", "gold", "rank", "0", "share", "0.6"),
		newChange(3, "create", "workspace", "w", "class", "gold", "key_hash", "h"),
		newChange(4, "create", "pool", "p", "zone", "a", "role", "decode", "serves", "m"),
		newChange(5, "create", "endpoint", "e", "pool", "p", "address", "127.0.0.1:1"),
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
		{newChange(7, "set", "zone", "a"), "revision 7 does not follow 5"},
		{newChange(6, "create", "zone", "a"), "exists already"},
		{newChange(6, "set", "class", "silver"), "does not exist"},
		{newChange(6, "create", "class", "silver", "share", "0.5"), "at most 1"},
		{newChange(6, "set", "class", "gold", "ttft", "soon"), "soon"},
		{newChange(6, "set", "class", "gold", "colour", "red"), "colour"},
		{newChange(6, "delete", "class", "gold"), `class "gold" does not exist`},
		{newChange(6, "delete", "pool", "p"), `pool "p" does not exist`},
		{newChange(6, "create", "planet", "x"), "unknown noun"},
		{newChange(6, "create", "endpoint", "f", "pool", "p", "address", "host:1"), "host:1"},
		{newChange(6, "set", "pool", "p", "role", "cook"), "must be one of"},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			c := qt.New(t)
			before := smallCatalog(t)
			_, err := before.Apply(test.change)
			c.Assert(err, qt.ErrorMatches, ".*"+test.want+".*")
			c.Assert(before.Revision, qt.Equals, int64(5))
		})
	}
}

func TestRowsRebuildTheCatalog(t *testing.T) {
	c := qt.New(t)
	before := smallCatalog(t)
	after, err := catalog.FromRows(before.Revision, before.Rows())
	c.Assert(err, qt.IsNil)
	c.Assert(after.Rows(), qt.DeepEquals, before.Rows())
	name, ok := after.WorkspaceOf("h")
	c.Assert(ok, qt.IsTrue)
	c.Assert(name, qt.Equals, "w")
}

func ExampleCatalog_Layout() {
	c := smallCatalog(nil)
	c, _ = c.Apply(newChange(6, "set", "pool", "p", "state", "stopped"))
	for name, members := range c.Layout("a") {
		fmt.Println(name, members[0].Name, "draining:", members[0].Draining)
	}
	// Output: a/m/0 e draining: true
}

// BenchmarkCatalog measures changes to a configuration of the size required of
// the system: 10,000 endpoints, 720 workspaces, 24 zones, 6 models.
func BenchmarkCatalog(b *testing.B) {
	c := catalog.New()
	apply := func(verb, noun, name string, fields ...string) {
		next, err := c.Apply(newChange(c.Revision+1, verb, noun, name, fields...))
		if err != nil {
			b.Fatal(err)
		}
		c = next
	}
	var rows []catalog.Row
	add := func(noun, name string, fields ...string) {
		r := catalog.Row{Noun: noun, Name: name}
		for i := 0; i < len(fields); i += 2 {
			r.Fields = append(r.Fields, catalog.Field{Name: fields[i], Value: fields[i+1]})
		}
		rows = append(rows, r)
	}
	add("class", "gold")
	for i := range 720 {
		add("workspace", fmt.Sprintf("w%03d", i), "class", "gold", "key_hash", fmt.Sprintf("%064d", i))
	}
	for z := range 24 {
		zone := fmt.Sprintf("zone-%02d", z)
		add("zone", zone)
		for m := range 6 {
			for _, role := range []string{"prefill", "decode"} {
				add("pool", fmt.Sprintf("%s-model-%d-%s", zone, m, role), "zone", zone, "role", role, "serves", fmt.Sprintf("model-%d", m))
			}
		}
	}
	for i := range 10_000 {
		pool := fmt.Sprintf("zone-%02d-model-%d-%s", i%24, i/24%6, []string{"prefill", "decode"}[i%3/2])
		add("endpoint", fmt.Sprintf("endpoint-%05d", i), "pool", pool, "address", "10.0.0.1:8000")
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c, err := catalog.FromRows(1, rows)
	if err != nil {
		b.Fatal(err)
	}
	cells := 0
	for zone := range c.Zones {
		cells += len(c.Layout(zone))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 0
	for b.Loop() {
		i++
		apply("set", "endpoint", fmt.Sprintf("endpoint-%05d", i%10_000), "state", []string{"draining", "serving"}[i%2])
		_ = c.Layout("zone-00")
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	b.ReportMetric(float64(cells), "cells")
}
