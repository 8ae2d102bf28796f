package uplink

import (
	"context"
	"net/netip"
	"time"
)

// lentMaxIdle is how long a connection that carried a peer's exchange is kept. This instance
// does not see the response's Keep-Alive header, which names whole seconds.
const lentMaxIdle = time.Duration(keepAliveRatio * float64(time.Second))

// Lent is a connection of this instance's own that carries one exchange of a peer.
type Lent struct {
	Fresh bool // it was opened for this exchange
	conn  *conn
	pool  *Pool
}

// Lend returns a connection to an endpoint: one that has been idle for less than maxIdle, or a
// new one. If maxIdle is 0, it is always new.
func (p *Pool) Lend(ctx context.Context, to netip.AddrPort, endpointID string, maxIdle time.Duration) (*Lent, error) {
	key := connKey{to, endpointID}
	if maxIdle > 0 {
		if c := p.popUsable(key, maxIdle, func(*conn) bool { return true }); c != nil {
			return &Lent{conn: c, pool: p}, nil
		}
	}
	raw, err := p.DialOwn(ctx, to)
	if err != nil {
		return nil, err
	}
	return &Lent{Fresh: true, conn: newConn(raw, key), pool: p}, nil
}

// Read implements io.Reader.
func (l *Lent) Read(b []byte) (int, error) { return l.conn.reader.Read(b) }

// Write implements io.Writer.
func (l *Lent) Write(b []byte) (int, error) { return l.conn.Write(b) }

// Interrupt makes reads fail with a timeout, those in progress too.
func (l *Lent) Interrupt() { _ = l.conn.SetReadDeadline(time.Unix(1, 0)) } // fails only on a closed connection

// Return gives the connection back after a complete exchange.
func (l *Lent) Return() {
	if l.conn.SetReadDeadline(time.Time{}) != nil {
		l.Close()
		return
	}
	l.conn.maxIdle = lentMaxIdle
	l.pool.put(l.conn)
}

// Close closes the connection.
func (l *Lent) Close() { _ = l.conn.Close() }
