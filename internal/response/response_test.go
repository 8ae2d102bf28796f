package response_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/response"
)

// parse returns the response that net/http parses from a head.
func parse(c *qt.C, head string) *http.Response {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
	c.Assert(err, qt.IsNil)
	return r
}

func TestCheckOfStatus(t *testing.T) {
	tests := []struct {
		status string
		valid  bool
	}{
		{"000", false},
		{"099", false},
		{"+20", false},
		{"100", true},
		{"101", false},
		{"103", true},
		{"200", true},
		{"599", true},
		{"600", false},
		{"999", false},
	}
	for _, test := range tests {
		t.Run(test.status, func(t *testing.T) {
			c := qt.New(t)
			err := response.Check(parse(c, "HTTP/1.1 "+test.status+" Reason\r\n\r\n"))
			c.Check(err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
		})
	}
}

func TestCheckOfNames(t *testing.T) {
	tests := []struct {
		line  string
		valid bool
	}{
		{"X-Filler: 1", true},
		{"x_filler!#$%&'*+.^`|~9: 1", true},
		{"X Filler: 1", false},
		{"X-Filler : 1", false},
		{"Content-Length : 0", false},
		{"Transfer-Encoding : chunked", false},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			c := qt.New(t)
			err := response.Check(parse(c, "HTTP/1.1 200 OK\r\n"+test.line+"\r\n\r\n"))
			c.Check(err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
		})
	}
}

// A connection that brought a malformed response is not used again.
func TestTransport(t *testing.T) {
	tests := []string{
		"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX Filler: 1\r\nContent-Length: 2\r\n\r\nok",
	}
	for _, answer := range tests {
		t.Run(answer, func(t *testing.T) {
			c := qt.New(t)
			address, accepted := newServer(t, answer)
			client := &http.Client{Transport: response.Transport{Transport: &http.Transport{}}}
			for n := range int64(3) {
				_, err := client.Get("http://" + address)
				c.Assert(response.Error.Has(err), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(accepted.Load(), qt.Equals, n+1)
			}
		})
	}
}

// newServer starts a server that gives the same answer to all requests, and counts its connections.
func newServer(t *testing.T, answer string) (address string, accepted *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				for requests := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(requests); err != nil {
						return
					}
					if _, err := conn.Write([]byte(answer)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), accepted
}
