package gateway_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/gateway"
	"github.com/trailshed/trailshed/platform/standin"
)

// A caller that closed its sending side, and so had left, got an empty success that no endpoint had given.
func TestRequestThatIsGivenUpGetsNoSuccess(t *testing.T) {
	c := qt.New(t)
	n := startInstance(t, 300*time.Millisecond, nil)
	n.endpoint.SetBehaviour(standin.Behaviour{Delay: time.Second})
	k := n.dial(t)
	text, _ := k.message()
	c.Assert(k.write(text), qt.IsNil)
	eventually(t, "the endpoint has the request", func() bool { return len(n.endpoint.Arrivals()) > 0 })
	c.Assert(k.conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	status, _, err := k.answer()
	c.Check(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("status %d, %v", status, err))
}

// A request whose handler panicked got no answer, and the panic was written to the standard error without its ID.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	c := qt.New(t)
	n := startInstance(t, 300*time.Millisecond, func(p *gateway.Platform) {
		p.Codec.CallerHeader = func(http.Header) http.Header { panic("no header") }
	})
	k := n.dial(t)
	status, keep, err := k.exchange()
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusBadGateway)
	c.Check(keep, qt.IsFalse)
	eventually(t, "the panic is logged", func() bool {
		s := n.log.String()
		return strings.Contains(s, `"event":"panicked","request":"r1"`) && strings.Contains(s, "no header")
	})
}

// What the HTTP servers report went to the standard error.
func TestServerErrorsAreLogged(t *testing.T) {
	n := startInstance(t, 300*time.Millisecond, nil)
	n.ServerErrorLog().Print("http: something")
	eventually(t, "the error is logged", func() bool {
		return strings.Contains(n.log.String(), `"event":"server_error","detail":"http: something"`)
	})
}
