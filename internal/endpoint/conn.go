package endpoint

import (
	"net"
	"sync/atomic"

	"github.com/trailshed/trailshed/internal/obsfold"
	"github.com/trailshed/trailshed/internal/socket"
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	retired   atomic.Bool
	responses *obsfold.Reader
}

func newConn(inner net.Conn) *conn {
	c := socket.Wrap(inner)
	return &conn{Conn: c, responses: obsfold.NewReader(c)}
}

// expectResponse is called before a request is written.
func (c *conn) expectResponse() {
	_ = c.responses.ExpectHead(nil) // fails only with what has been read ahead
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.responses.Read(b) } //nolint:wrapcheck // as of the connection

// retire ends the use of the connection: nothing more is written on it, so that net/http sends the
// next request on another one. It returns false if the connection was retired before.
func (c *conn) retire() bool { return !c.retired.Swap(true) }

func (c *conn) Write(b []byte) (int, error) {
	if c.retired.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b) //nolint:wrapcheck // as of the connection
}
