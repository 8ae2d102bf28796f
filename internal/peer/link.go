package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// linkIdleTimeout is how long an unused link keeps its connection, at least: links are
// checked at this interval, and one that was not used since the last check is closed.
const linkIdleTimeout = 30 * time.Second

// link sends the frames for one address in order. It dials when there is something to
// send, unless the peer has already dialled. If the address cannot be reached it drops
// its queue, so that callers fail at once instead of waiting. An idle link is closed.
type link struct {
	transport *Transport
	to        netip.AddrPort
	wake      chan struct{}             // signals run that the queue is not empty
	used      atomic.Bool               // in either direction since the last idle check
	stale     atomic.Bool               // the connection must be replaced
	conn      atomic.Pointer[quic.Conn] // nil if not connected; set by run only
	inbound   bool                      // the peer dialled conn
	stream    *quic.SendStream

	cancelDial atomic.Pointer[context.CancelFunc] // cancels a dial in progress
	replaced   atomic.Bool                        // conn was closed because the peer restarted

	mu    sync.Mutex
	queue []frame // grows on demand: in a large fleet most links rarely hold a frame
	// writing is set from the pop of a frame until the queue is found empty.
	writing bool
	closed  bool
}

func newLink(t *Transport, to netip.AddrPort) *link {
	return &link{transport: t, to: to, wake: make(chan struct{}, 1)}
}

// errLinkClosed is returned by push if the link was closed and a new one is needed.
var errLinkClosed = Error.New("link is closed")

func (l *link) push(f frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errLinkClosed
	}
	if len(l.queue) >= l.transport.queueLength {
		l.transport.scope.Counter("peer_queue_full").Inc(1)
		return Error.New("queue to %s is full", l.to)
	}
	l.queue = append(l.queue, f)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// busy reports whether a frame is queued or being written.
func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writing || len(l.queue) > 0
}

// pop removes and returns the next frame.
func (l *link) pop() (f frame, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = len(l.queue) > 0
	if !l.writing {
		return frame{}, false
	}
	f, l.queue = l.queue[0], l.queue[1:]
	if len(l.queue) == 0 {
		l.queue = nil // frees the array
	}
	return f, true
}

func (l *link) run() {
	idle := time.NewTicker(linkIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.transport.ctx.Done():
			l.close()
			return
		case <-idle.C:
			if !l.used.Swap(false) && l.transport.retire(l) {
				l.close()
				return
			}
		case <-l.wake:
			for f, ok := l.pop(); ok; f, ok = l.pop() {
				l.used.Store(true)
				l.send(f)
			}
		}
	}
}

// retire removes an idle link. It returns false if frames are queued or a stream is open.
func (t *Transport) retire(l *link) bool {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 || t.openStreams[l.conn.Load()] > 0 {
		return false
	}
	l.closed = true
	delete(t.links, l.to)
	return true
}

func (l *link) send(f frame) {
	if f.connected != nil {
		err := l.connect()
		f.connected <- err
		if err != nil {
			l.handleFailure(err)
		}
		return
	}
	err := l.write(f)
	if err != nil && l.replaced.Swap(false) {
		l.close()
		err = l.write(f) // to the restarted process
	}
	if err != nil {
		l.handleFailure(err)
	}
}

func (l *link) write(f frame) error {
	if err := l.connect(); err != nil {
		return err
	}
	n, err := writeFrame(l.stream, f)
	if err == nil {
		l.transport.scope.Counter("peer_sent_bytes").Inc(int64(n))
	}
	return err
}

// replaceConn handles a connection that the peer has dialled. It cancels a dial in
// progress, which is not needed then. If the certificate shows that another process now
// listens at the peer's address, the old connection is closed: until its idle timeout it
// would accept frames but deliver none.
func (l *link) replaceConn(dialled *quic.Conn) {
	if cancel := l.cancelDial.Load(); cancel != nil {
		(*cancel)()
	}
	current := l.conn.Load()
	if current == nil || current == dialled {
		return
	}
	before, now := certificate(current), certificate(dialled)
	if before == nil || now == nil || before.Equal(now) {
		return
	}
	l.replaced.Store(true)
	_ = current.CloseWithError(0, "started anew")
}

func (l *link) connect() error {
	if l.stale.Swap(false) {
		l.transport.dropInbound(l.to)
		l.close()
	}
	if current := l.conn.Load(); current != nil && current.Context().Err() == nil {
		return nil
	}
	l.close()
	conn, inbound, err := l.open()
	if err != nil {
		return err
	}
	stream, err := conn.OpenUniStreamSync(l.transport.ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	l.stream, l.inbound = stream, inbound
	l.conn.Store(conn)
	l.transport.group.Go(func() { l.watch(conn) })
	return nil
}

// open returns a connection dialled by the peer, before or during a dial of this side, or
// else dials one.
func (l *link) open() (conn *quic.Conn, inbound bool, err error) {
	t := l.transport
	if conn = t.inbound(l.to); conn != nil {
		return conn, true, nil
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	l.cancelDial.Store(&cancel)
	defer l.cancelDial.Store(nil)
	conn, err = t.quic.Dial(ctx, net.UDPAddrFromAddrPort(l.to), t.tls, quicConfig())
	if err == nil {
		t.scope.Counter("peer_connections").Inc(1)
		t.group.Go(func() { t.acceptStreams(conn) }) // the peer may send on it as well
		return conn, false, nil
	}
	if conn = t.inbound(l.to); conn != nil {
		return conn, true, nil
	}
	return nil, false, Error.Wrap(err)
}

// watch fails the pending calls to the peer as soon as the connection is lost.
func (l *link) watch(conn *quic.Conn) {
	select {
	case <-conn.Context().Done():
	case <-l.transport.ctx.Done():
		_ = conn.CloseWithError(0, "closing")
	}
	l.transport.failCalls(l.to, Error.New("connection to %s lost", l.to))
}

// handleFailure drops the queue and fails the pending calls if the address cannot be
// reached.
func (l *link) handleFailure(cause error) {
	l.close()
	l.transport.scope.Counter("peer_send_failed").Inc(1)
	for f, ok := l.pop(); ok; f, ok = l.pop() {
		l.transport.scope.Counter("peer_send_failed").Inc(1)
		if f.connected != nil {
			f.connected <- cause
		}
	}
	l.transport.failCalls(l.to, cause)
}

// close closes the connection, or only the stream if the peer dialled it.
func (l *link) close() {
	current := l.conn.Swap(nil)
	switch {
	case current == nil:
	case l.inbound:
		_ = l.stream.Close()
	default:
		_ = current.CloseWithError(0, "idle")
	}
	l.stream = nil
}
