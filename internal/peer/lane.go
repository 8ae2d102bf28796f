package peer

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// laneIdle is how long an unused lane keeps its connection.
const laneIdle = 30 * time.Second

// lane sends the frames for one address in order. It dials when there is
// something to send, and drops its queue when the address cannot be reached,
// so that senders hear of it at once instead of waiting.
type lane struct {
	transport *Transport
	to        netip.AddrPort
	queue     chan frame
	stale     atomic.Bool // the connection is to be made anew
	conn      *quic.Conn
	stream    *quic.SendStream
}

func (l *lane) push(f frame) error {
	select {
	case l.queue <- f:
		return nil
	default:
		l.transport.scope.Counter("peer_queue_full").Inc(1)
		return Error.New("queue to %s is full", l.to)
	}
}

func (l *lane) run() {
	idle := time.NewTicker(laneIdle)
	defer idle.Stop()
	used := false
	for {
		select {
		case <-l.transport.ctx.Done():
			l.close()
			return
		case <-idle.C:
			if !used {
				l.close()
			}
			used = false
		case f := <-l.queue:
			used = true
			l.send(f)
		}
	}
}

func (l *lane) send(f frame) {
	if err := l.connect(); err != nil {
		l.broken(err)
		return
	}
	n, err := writeFrame(l.stream, f)
	if err != nil {
		l.broken(err)
		return
	}
	l.transport.scope.Counter("peer_sent_bytes").Inc(int64(n))
}

func (l *lane) connect() error {
	if l.stale.Swap(false) {
		l.close()
	}
	if l.conn != nil && l.conn.Context().Err() == nil {
		return nil
	}
	l.close()
	conn, err := l.transport.quic.Dial(l.transport.ctx, net.UDPAddrFromAddrPort(l.to), l.transport.tls, quicConfig())
	if err != nil {
		return Error.Wrap(err)
	}
	stream, err := conn.OpenUniStreamSync(l.transport.ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	l.conn, l.stream = conn, stream
	l.transport.scope.Counter("peer_connections").Inc(1)
	l.transport.group.Go(func() { l.watch(conn) })
	return nil
}

// watch fails the questions of a connection as soon as it is lost.
func (l *lane) watch(conn *quic.Conn) {
	select {
	case <-conn.Context().Done():
	case <-l.transport.ctx.Done():
		_ = conn.CloseWithError(0, "closing")
	}
	l.transport.fail(l.to, Error.New("connection to %s lost", l.to))
}

// broken drops what was queued for an address that cannot be reached.
func (l *lane) broken(cause error) {
	l.close()
	l.transport.scope.Counter("peer_send_failed").Inc(1)
	for {
		select {
		case <-l.queue:
			l.transport.scope.Counter("peer_send_failed").Inc(1)
		default:
			l.transport.fail(l.to, cause)
			return
		}
	}
}

func (l *lane) close() {
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "idle")
	}
	l.conn, l.stream = nil, nil
}
