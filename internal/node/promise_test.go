package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/standin/engine"
	"github.com/trailshed/trailshed/internal/standin/site"
)

// addTills adds the service till with some endpoints, which answer calls with answer, and the kinds
// pay, which may run once, and look, which may be repeated.
func addTills(t *testing.T, s *site.Site, endpoints int, answer http.HandlerFunc) {
	statements := []string{
		"create kind pay serves = till, repeat = never", "create kind look serves = till",
		"create pool till zone = a, role = service, serves = till",
	}
	for i := range endpoints {
		statements = append(statements, fmt.Sprintf("create endpoint till-%d pool = till, address = %s", i, openTill(t, answer)))
	}
	for _, text := range statements {
		_, err := do(s.Nodes[0], text)
		qt.Assert(t, err, qt.IsNil)
	}
	until(t, "the tills have reported", func() bool {
		load, err := do(s.Nodes[1], "show load where state = open")
		return err == nil && len(load.Rows) == 6+endpoints
	})
	for _, n := range s.Nodes {
		until(t, "the tills' cell is known", func() bool {
			a, err := call{path: "/v1/services/till/ready", key: "key-w", kind: "look"}.send(context.Background(), n)
			return err == nil && a.status == http.StatusOK
		})
	}
}

// openTill opens an endpoint of the service till and returns its address.
func openTill(t *testing.T, answer http.HandlerFunc) string {
	e := engine.New(engine.Traits{Role: engine.Service})
	t.Cleanup(e.Close)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/call/") {
			answer(w, r)
			return
		}
		e.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// Guards against a service's own 408, 421, 429 or 503 that reaches the caller as the word that
// its request did not run, after it has run.
func TestServicesOwnRejectionIsNoPromise(t *testing.T) {
	s := open(t)
	var runs atomic.Int64
	addTills(t, s, 2, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		var status int
		_, _ = fmt.Sscanf(r.URL.Path, "/call/%d", &status)
		w.Header().Set("Retry-After", "0")
		http.Error(w, "the account is locked", max(status, http.StatusOK))
	})
	const failed = `"outcome":"failed_may_have_run"`
	tests := []struct {
		status int
		want   int
		body   string
		runs   int64 // of a call that may be repeated
	}{
		{http.StatusRequestTimeout, http.StatusBadGateway, failed, 1}, // other endpoints would answer the same
		{http.StatusMisdirectedRequest, http.StatusBadGateway, failed, 2},
		{http.StatusTooManyRequests, http.StatusBadGateway, failed, 1},
		{http.StatusServiceUnavailable, http.StatusBadGateway, failed, 2},
		{http.StatusConflict, http.StatusConflict, "the account is locked", 1},
		{http.StatusInternalServerError, http.StatusInternalServerError, "the account is locked", 1},
	}
	for _, kind := range []string{"pay", "look"} {
		for i, test := range tests {
			t.Run(fmt.Sprintf("%s %d", kind, test.status), func(t *testing.T) {
				c := qt.New(t)
				request := call{path: fmt.Sprintf("/v1/services/till/%d", test.status), key: "key-w", kind: kind, body: "pay"}
				if kind == "pay" {
					request.once = fmt.Sprintf("key-%d", i)
				}
				before := runs.Load()
				a, err := request.send(context.Background(), s.Nodes[0])
				c.Assert(err, qt.IsNil)
				c.Check(a.status, qt.Equals, test.want, qt.Commentf(a.body))
				c.Check(a.body, qt.Contains, test.body)
				if kind != "pay" {
					c.Check(runs.Load()-before, qt.Equals, test.runs)
					return
				}
				again, err := request.send(context.Background(), s.Nodes[1])
				c.Assert(err, qt.IsNil)
				c.Check(strings.Contains(again.body, "refused_not_run"), qt.IsFalse, qt.Commentf(again.body))
				c.Check(runs.Load(), qt.Equals, before+1)
			})
		}
	}
}

// Guards against the answer of another call for a caller who uses a key again with the same body:
// the caller would take the second call for one that was run.
func TestKeyOfAnotherCall(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	first := call{"/v1/services/bank/transfer/1", "key-w", "confirm", "k", "pay"}
	a, err := first.send(context.Background(), s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(a.status, qt.Equals, http.StatusOK)
	tests := []struct {
		name, path, kind string
		want             int
	}{
		{"same call", "/v1/services/bank/transfer/1", "confirm", http.StatusOK},
		{"other path", "/v1/services/bank/transfer/2", "confirm", http.StatusUnprocessableEntity},
		{"other query", "/v1/services/bank/transfer/1?to=x", "confirm", http.StatusUnprocessableEntity},
	}
	for _, test := range tests {
		for i, n := range s.Nodes {
			again := first
			again.path, again.kind = test.path, test.kind
			a, err := again.send(context.Background(), n)
			c.Assert(err, qt.IsNil)
			c.Check(a.status, qt.Equals, test.want, qt.Commentf("%s at node %d: %s", test.name, i, a.body))
		}
	}
	c.Check(len(s.Engines["a-service"].Runs())+len(s.Engines["b-service"].Runs()), qt.Equals, 1)
}

// Guards against another call than the caller's, and against a path that cannot be sent, which
// counted as a failure of each endpoint it was meant for.
func TestPathReachesTheServiceAsItIs(t *testing.T) {
	s := open(t)
	addTills(t, s, 2, func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, r.RequestURI) })
	for _, path := range []string{"a%23b", "a%3Fb", "a%25b", "%25", "a%2Fb", "a%20b", "a//b", "a+b?c=%25&d", "", "?a"} {
		a, err := call{path: "/v1/services/till/" + path, key: "key-w", kind: "look"}.send(context.Background(), s.Nodes[0])
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, a.body, qt.Equals, "/call/"+path)
	}
}
