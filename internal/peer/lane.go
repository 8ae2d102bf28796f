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

// laneIdle is how long an unused lane keeps its connection.
const laneIdle = 30 * time.Second

// lane sends the frames for one address in order. It dials when there is
// something to send, unless the peer there has dialled already, and drops its queue
// when the address cannot be reached, so that senders hear of it at once instead of
// waiting. An unused lane ends.
type lane struct {
	transport *Transport
	to        netip.AddrPort
	wake      chan struct{}             // something is queued
	used      atomic.Bool               // since the last look, in either direction
	stale     atomic.Bool               // the connection is to be made anew
	conn      atomic.Pointer[quic.Conn] // nil: none; only run sets it
	borrowed  bool                      // the peer dialled conn
	stream    *quic.SendStream

	dialling   atomic.Pointer[context.CancelFunc] // ends a dial in progress
	superseded atomic.Bool                        // conn was closed as the peer has started anew

	mu    sync.Mutex
	queue []frame // grows by need: most of a large fleet's lanes hardly hold one
	// writing says that a frame was taken from the queue and the next was not.
	writing bool
	ended   bool
}

func newLane(t *Transport, to netip.AddrPort) *lane {
	return &lane{transport: t, to: to, wake: make(chan struct{}, 1)}
}

// errLaneEnded says that another lane must be asked for.
var errLaneEnded = Error.New("lane has ended")

func (l *lane) push(f frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return errLaneEnded
	}
	if len(l.queue) >= l.transport.queue {
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

// busy says whether a frame is queued or being written.
func (l *lane) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writing || len(l.queue) > 0
}

// pop takes the next frame.
func (l *lane) pop() (f frame, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = len(l.queue) > 0
	if !l.writing {
		return frame{}, false
	}
	f, l.queue = l.queue[0], l.queue[1:]
	if len(l.queue) == 0 {
		l.queue = nil // gives its memory back
	}
	return f, true
}

func (l *lane) run() {
	idle := time.NewTicker(laneIdle)
	defer idle.Stop()
	for {
		select {
		case <-l.transport.ctx.Done():
			l.close()
			return
		case <-idle.C:
			if !l.used.Swap(false) && l.transport.end(l) {
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

// end takes an idle lane out of use; false means that something is queued.
func (t *Transport) end(l *lane) bool {
	t.lanesMu.Lock()
	defer t.lanesMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	l.ended = true
	delete(t.lanes, l.to)
	return true
}

func (l *lane) send(f frame) {
	err := l.write(f)
	if err != nil && l.superseded.Swap(false) {
		l.close()
		err = l.write(f) // to the process that is there now
	}
	if err != nil {
		l.broken(err)
	}
}

func (l *lane) write(f frame) error {
	if err := l.connect(); err != nil {
		return err
	}
	n, err := writeFrame(l.stream, f)
	if err == nil {
		l.transport.scope.Counter("peer_sent_bytes").Inc(int64(n))
	}
	return err
}

// supersede takes that the peer has dialled a connection. A dial to it need not end then.
// Where another process listens at its address now, as its certificate tells, the old
// connection is closed: it would take what is sent, and deliver nothing, until its idle
// timeout.
func (l *lane) supersede(dialled *quic.Conn) {
	if end := l.dialling.Load(); end != nil {
		(*end)()
	}
	held := l.conn.Load()
	if held == nil || held == dialled {
		return
	}
	before, now := certificate(held), certificate(dialled)
	if before == nil || now == nil || before.Equal(now) {
		return
	}
	l.superseded.Store(true)
	_ = held.CloseWithError(0, "started anew")
}

func (l *lane) connect() error {
	if l.stale.Swap(false) {
		l.transport.forgetInbound(l.to)
		l.close()
	}
	if held := l.conn.Load(); held != nil && held.Context().Err() == nil {
		return nil
	}
	l.close()
	conn, borrowed, err := l.open()
	if err != nil {
		return err
	}
	stream, err := conn.OpenUniStreamSync(l.transport.ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	l.stream, l.borrowed = stream, borrowed
	l.conn.Store(conn)
	l.transport.group.Go(func() { l.watch(conn) })
	return nil
}

// open returns a connection that the peer has dialled, also while this one dials, or a new
// one.
func (l *lane) open() (conn *quic.Conn, borrowed bool, err error) {
	t := l.transport
	if conn = t.inbound(l.to); conn != nil {
		return conn, true, nil
	}
	ctx, end := context.WithCancel(t.ctx)
	defer end()
	l.dialling.Store(&end)
	defer l.dialling.Store(nil)
	conn, err = t.quic.Dial(ctx, net.UDPAddrFromAddrPort(l.to), t.tls, quicConfig())
	if err == nil {
		t.scope.Counter("peer_connections").Inc(1)
		t.group.Go(func() { t.receive(conn) }) // the peer answers on it
		return conn, false, nil
	}
	if conn = t.inbound(l.to); conn != nil {
		return conn, true, nil
	}
	return nil, false, Error.Wrap(err)
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
	for _, ok := l.pop(); ok; _, ok = l.pop() {
		l.transport.scope.Counter("peer_send_failed").Inc(1)
	}
	l.transport.fail(l.to, cause)
}

// close ends the connection, or the own stream on one that the peer dialled.
func (l *lane) close() {
	held := l.conn.Swap(nil)
	switch {
	case held == nil:
	case l.borrowed:
		_ = l.stream.Close()
	default:
		_ = held.CloseWithError(0, "idle")
	}
	l.stream = nil
}
