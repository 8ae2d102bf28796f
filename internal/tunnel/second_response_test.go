package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
)

// response returns a response to the request with an ID.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// do sends a request with an ID and returns the body of its response. It calls read before it ends the exchange.
func do(ctx context.Context, p *uplink.Pool, d tunnel.Destination, id string, read func()) (string, error) {
	x, err := p.Do(ctx, uplink.Message{
		Address: d.Address, EndpointID: d.EndpointID, Method: http.MethodPost, Target: "/" + id, Host: "h", MaxIdle: time.Second,
	}, func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(x.Response.Body)
	read()
	x.Close(err == nil)
	return string(body), err
}

// Guards against a second response that a peer has passed back in part: the rest of it is on the connection when the
// peer lends it again, and belongs to no request.
func TestSecondResponseThroughPeer(t *testing.T) {
	const passTime = 20 * time.Millisecond // until the peer has passed on what came after the first response
	tests := []struct {
		name         string
		early        int // bytes of the second response that arrive with the first one
		unread       int // bytes that arrive after the first one was read, before its exchange ends; the others arrive later
		reconnected  bool
		beforeReturn bool // the others arrive before the connection is used again
	}{
		{"whole, with the first one", len(response("r1", "once")), 0, true, false},
		{"half of it with the first one", 20, 0, true, false},
		{"half of it, the rest at once", 20, 0, true, true},
		{"half of it after the first one was read", 0, 20, true, false},
		{"whole, after the first one was read", 0, len(response("r1", "once")), true, false},
		{"all of it later", 0, 0, false, false},
		{"all of it before the connection is used again", 0, 0, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			answer := response("r1", "once")
			begun := test.early + test.unread
			rest := make(chan struct{})
			connections := make(chan int, 2)
			f := newFleet(t, "n1", "n2")
			d := listen(t, func(n int, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				connections <- n
				requests := bufio.NewReader(conn)
				for sent := ""; ; sent = answer {
					r, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					id := strings.TrimPrefix(r.URL.Path, "/")
					if id != "r1" {
						late := ""
						if sent != "" && !test.beforeReturn {
							late = answer[begun:]
						}
						_, _ = io.WriteString(conn, late+response(id, "twice"))
						continue
					}
					_, _ = io.WriteString(conn, answer+answer[:test.early])
					<-rest
					_, _ = io.WriteString(conn, answer[test.early:begun])
					rest <- struct{}{}
					if test.beforeReturn {
						<-rest
						_, _ = io.WriteString(conn, answer[begun:])
						rest <- struct{}{}
					}
				}
			})
			p := f.poolThrough()
			body, err := do(t.Context(), p, d, "r1", func() {
				rest <- struct{}{}
				<-rest
				time.Sleep(passTime)
			})
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "once")
			f.waitCarried()
			if test.beforeReturn {
				rest <- struct{}{}
				<-rest
			}
			body, err = do(t.Context(), p, d, "r2", func() {})
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, "twice")
			f.waitCarried()
			c.Check(len(connections) == 2, qt.Equals, test.reconnected)
		})
	}
}
