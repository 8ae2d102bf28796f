package keepalive

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/pkg/clock"
)

// An answer that was given up since its caller had closed its sending side looked whole to that caller.
func TestUnfinishedAnswerDoesNotLookWhole(t *testing.T) {
	c := qt.New(t)
	s := &Connections{Now: clock.System(), Last: func() bool { return false }, OnUnanswered: func(string, bool) {}}
	port, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "begun")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})}
	s.Attach(server)
	go func() { _ = server.Serve(s.Listener(port)) }()
	defer server.Close()
	caller := dial(t, port.Addr())
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(caller.CloseWrite(), qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Check(string(body), qt.Equals, "begun")
	c.Check(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
}
