package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/standin/engine"
	"github.com/trailshed/trailshed/internal/standin/site"
)

// sendHalfClosed sends a request, closes the sending side of the connection once begun has returned, and
// returns the body of the response.
func (c call) sendHalfClosed(n *site.Node, begun func(*bufio.Reader)) (body []byte, err error) {
	conn, err := net.Dial("tcp", n.Callers)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTrailshed-Kind: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		c.path, c.key, c.kind, c.once, len(c.body), c.body)
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	begun(reader)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// Guards against an empty 200, or a stream that ends like a whole one, for a caller who has closed
// only the sending side of the connection, and so is taken for gone: it would be told that its
// request was answered.
func TestRequestOfHalfClosedConnectionIsNotAnswered(t *testing.T) {
	s := open(t)
	s.Engines["a-service"].SetFaults(engine.Faults{Slow: 20})
	s.Engines["b-service"].SetFaults(engine.Faults{Slow: 20})
	running := func(prefix string) func(*bufio.Reader) {
		return func(*bufio.Reader) {
			until(t, "it runs", func() bool {
				return len(s.Engines["a-"+prefix].Runs())+len(s.Engines["b-"+prefix].Runs()) > 0
			})
		}
	}
	tests := []struct {
		name  string
		call  call
		begun func(*bufio.Reader)
	}{
		{"call", call{path: "/v1/services/bank/x", key: "key-w", kind: "confirm", once: "k", body: "pay"}, running("service")},
		{"completion", completion("a story [out=4000]", 4000, false), running("decode")},
		{"stream", completion("a story [out=4000]", 4000, true), func(r *bufio.Reader) { _, _ = r.Peek(1000) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body, err := test.call.sendHalfClosed(s.Nodes[0], test.begun)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", body))
		})
	}
	until(t, "nothing is held", func() bool { return held(s) == 0 })
}
