package route_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/route"
)

func table(t testing.TB, routes ...route.Route) *route.Table {
	for i := range routes {
		if routes[i].Shares == nil {
			routes[i].Shares = []route.Share{{Service: "web", Weight: 1}}
		}
	}
	made, err := route.NewTable(route.Document{
		Version: 1, Routes: routes, Services: []route.Service{{Name: "web"}, {Name: "next"}},
	})
	qt.Assert(t, err, qt.IsNil)
	return made
}

func TestMatch(t *testing.T) {
	made := table(
		t,
		route.Route{Name: "root", Host: "a.example", Prefix: "/"},
		route.Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		route.Route{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		route.Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	)
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/y", "short"},
		{"a.example", "/x", "root"},
		{"a.example", "/xy/", "root"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "", ""},
	}
	for _, test := range tests {
		t.Run(test.host+test.path, func(t *testing.T) {
			got, ok := made.Match(test.host, test.path)
			qt.Assert(t, ok, qt.Equals, test.want != "")
			if ok {
				qt.Assert(t, got.Name, qt.Equals, test.want)
			}
		})
	}
}

func TestWrongTables(t *testing.T) {
	tests := []struct {
		name string
		doc  route.Document
		want string
	}{
		{"no version", route.Document{}, "version 0"},
		{"prefix", route.Document{Version: 1, Routes: []route.Route{{Name: "r", Prefix: "x"}}}, `route "r": path prefix "x"`},
		{"no service", route.Document{Version: 1, Routes: []route.Route{{Name: "r", Prefix: "/"}}}, "names no service"},
		{"unknown service", route.Document{Version: 1, Routes: []route.Route{
			{Name: "r", Prefix: "/", Shares: []route.Share{{Service: "s", Weight: 1}}},
		}}, `service "s" does not exist`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := route.NewTable(test.doc)
			qt.Assert(t, err, qt.ErrorMatches, "route: .*"+test.want+".*")
		})
	}
}

// Requests are divided in proportion to the shares, and all instances select the same
// service for a request.
func TestSharesDivideRequests(t *testing.T) {
	c := qt.New(t)
	r := route.Route{Shares: []route.Share{{Service: "web", Weight: 90}, {Service: "next", Weight: 10}}}
	counts := map[string]int{}
	for i := range 10_000 {
		counts[r.Service(fmt.Sprint("request", i))]++
	}
	c.Assert(counts["next"] > 850 && counts["next"] < 1150, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts["web"]+counts["next"], qt.Equals, 10_000)
}

func TestRepeatable(t *testing.T) {
	tests := []struct {
		route route.Route
		want  bool
	}{
		{route.Route{Kind: route.Idempotent}, true},
		{route.Route{Kind: route.NonIdempotent}, false},
		{route.Route{Kind: route.NonIdempotent, Resumable: true}, false},
		{route.Route{Kind: route.Streaming}, false},
		{route.Route{Kind: route.Streaming, Resumable: true}, true},
	}
	for _, test := range tests {
		qt.Assert(t, test.route.Repeatable(), qt.Equals, test.want)
	}
}
