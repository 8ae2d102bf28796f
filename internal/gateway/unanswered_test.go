package gateway_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
