package endpoint

import (
	"net"
	"sync/atomic"
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	retired atomic.Bool
}

// retire ends the use of the connection: nothing more is written on it, so that net/http sends the
// next request on another one. It returns false if the connection was retired before.
func (c *conn) retire() bool { return !c.retired.Swap(true) }

func (c *conn) Write(b []byte) (int, error) {
	if c.retired.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b) //nolint:wrapcheck // as of the connection
}
