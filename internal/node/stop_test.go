package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/settings"
	"github.com/trailshed/trailshed/internal/standin/engine"
	"github.com/trailshed/trailshed/internal/standin/site"
)

// halfSend sends a request without the last byte of its body and returns the response.
func (c call) halfSend(n *site.Node) (response, error) {
	conn, err := net.Dial("tcp", n.Callers)
	if err != nil {
		return response{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return response{}, err
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTrailshed-Kind: %s\r\nContent-Length: %d\r\n\r\n%s",
		c.path, c.key, c.kind, len(c.body)+1, c.body)
	if err != nil {
		return response{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(body)}, err
}

// Requests that were in progress at the end of the drain timeout got no answer but the end of the
// connection.
func TestRequestsInProgressAreAnsweredAtExit(t *testing.T) {
	const timeout = 20 * time.Second // longer than the drain timeout
	s := open(t)
	s.AddEngine("long", engine.Traits{Role: engine.Service, Slots: 1, CallTime: timeout})
	for _, text := range []string{
		"create class patient rank = 0, ttft = 10m, tbt = 1s", // so that calls wait for one another
		"create workspace p class = patient, key = key-p",
		"create kind long serves = long", "create pool long zone = a, role = service, serves = long",
		"create endpoint long pool = long, slots = 1, address = " + s.Address("long"),
	} {
		_, err := do(s.Nodes[0], text)
		qt.Assert(t, err, qt.IsNil)
	}
	n, err := s.AddNode("stopping", "a", func(set *settings.Settings) { set.Callers.DrainTimeout = time.Second })
	qt.Assert(t, err, qt.IsNil)
	until(t, "the node knows the long service's endpoint", func() bool {
		load, err := do(n, "show load where state = open")
		return err == nil && len(load.Rows) == 7
	})
	until(t, "the node serves", func() bool {
		a, err := completion("ready?", 5, false).send(context.Background(), n)
		return err == nil && a.status == http.StatusOK
	})
	long := call{path: "/v1/services/long/x", key: "key-p", kind: "long", body: "pay"}
	send := func(c call) func() (response, error) {
		return func() (response, error) { return c.send(context.Background(), n) }
	}
	tests := []struct {
		name   string
		send   func() (response, error)
		status int
		want   string
	}{
		{"running call", send(long), http.StatusBadGateway, "failed_may_have_run"},
		{"waiting call", send(long), http.StatusServiceUnavailable, "refused_not_run"},
		{"completion", send(completion("a story [out=4000]", 4000, false)), http.StatusBadGateway, "failed_"},
		{"stream", send(completion("a story [out=4000]", 4000, true)), http.StatusOK, "failed_after_start"},
		{"incomplete body", func() (response, error) { return long.halfSend(n) }, http.StatusServiceUnavailable, "refused_not_run"},
	}
	var group sync.WaitGroup
	for i, test := range tests {
		group.Go(func() {
			c := qt.New(t)
			a, err := test.send()
			c.Check(err, qt.IsNil, qt.Commentf(test.name))
			c.Check(a.status, qt.Equals, test.status, qt.Commentf("%s: %s", test.name, a.body))
			c.Check(a.body, qt.Contains, test.want, qt.Commentf(test.name))
			c.Check(a.body, qt.Contains, `"type":"leaving"`, qt.Commentf(test.name))
			c.Check(strings.Contains(a.body, "[DONE]"), qt.IsFalse)
		})
		if i == 0 {
			until(t, "the call runs", func() bool { return len(s.Engines["long"].Runs()) == 1 })
		}
	}
	until(t, "the answers have begun", func() bool {
		return len(s.Engines["a-decode"].Runs())+len(s.Engines["b-decode"].Runs()) >= 3
	})
	n.Stop()
	group.Wait()
	qt.Check(t, s.Engines["long"].Runs(), qt.HasLen, 1)
	until(t, "nothing is held", func() bool { return held(s) == 0 })
}
