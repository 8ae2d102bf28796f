package peer

import (
	"context"
	"errors"
	"net/netip"
	"sync"

	"github.com/quic-go/quic-go"
)

// maxStreamMessage bounds an encoded message on a Stream, in bytes.
const maxStreamMessage = 16 << 10

// Stream is a stream of bytes in both directions between two processes. It ends with Finish or
// Abort.
type Stream struct {
	*quic.Stream
	transport *Transport
	conn      *quic.Conn
	ended     sync.Once
}

// OpenStream opens a stream to the process at an address, and connects to it if necessary. It
// fails at once if the peer accepts no more streams.
func (t *Transport) OpenStream(ctx context.Context, to netip.AddrPort) (*Stream, error) {
	if lost := t.lost.Load(); lost != nil && (*lost)(to) {
		t.scope.Counter("peer_cut").Inc(1)
		return nil, Error.New("no path to %s", to)
	}
	conn, err := t.connection(ctx, to)
	if err != nil {
		return nil, err
	}
	s, err := conn.OpenStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return t.newStream(conn, s), nil
}

// HandleStreams sets the function that serves the streams opened by peers, each in a goroutine
// of its own. Until it is set, such streams are refused.
func (t *Transport) HandleStreams(do func(from string, s *Stream)) { t.onStream.Store(&do) }

// newStream counts a stream of a connection until it ends, so that the connection is not closed
// as idle.
func (t *Transport) newStream(conn *quic.Conn, s *quic.Stream) *Stream {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	t.openStreams[conn]++
	return &Stream{Stream: s, transport: t, conn: conn}
}

// Finish ends the stream. What was written is still delivered; nothing more is read. It must not
// be called during a Write.
func (s *Stream) Finish() { s.FinishAfter(0) }

// FinishAfter is Finish, and tells the peer how many bytes of its were read.
func (s *Stream) FinishAfter(read int64) {
	_ = s.Close() // fails only if the peer has ended the stream
	s.CancelRead(quic.StreamErrorCode(read))
	s.ended.Do(s.uncount)
}

// ReadByPeer waits until the peer reads no more and returns how many bytes of this side's it says to have read, or 0 if
// it does not say so, as an earlier build does not.
func (s *Stream) ReadByPeer(ctx context.Context) int64 {
	select {
	case <-ctx.Done():
		return 0
	case <-s.Context().Done():
	}
	var end *quic.StreamError
	if !errors.As(context.Cause(s.Context()), &end) || !end.Remote {
		return 0
	}
	return int64(end.ErrorCode)
}

// Abort ends the stream at once, also for the peer. What was written may be lost.
func (s *Stream) Abort() {
	s.CancelRead(0)
	s.CancelWrite(0)
	s.ended.Do(s.uncount)
}

func (s *Stream) uncount() {
	t := s.transport
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	if t.openStreams[s.conn]--; t.openStreams[s.conn] == 0 {
		delete(t.openStreams, s.conn)
	}
}

// connection returns an open connection to an address, or makes one.
func (t *Transport) connection(ctx context.Context, to netip.AddrPort) (*quic.Conn, error) {
	l, err := t.link(to)
	if err != nil {
		return nil, err
	}
	l.used.Store(true)
	if conn := l.conn.Load(); conn != nil && conn.Context().Err() == nil && !l.stale.Load() {
		return conn, nil
	}
	connected := make(chan error, 1)
	if err := t.push(to, frame{connected: connected}); err != nil {
		return nil, err
	}
	select {
	case err = <-connected:
	case <-ctx.Done():
		err = Error.Wrap(ctx.Err())
	case <-t.ctx.Done():
		err = Error.New("closed")
	}
	if err != nil {
		return nil, err
	}
	if conn := l.conn.Load(); conn != nil {
		return conn, nil
	}
	return nil, Error.New("connection to %s lost", to)
}

// acceptStreamsOf passes the streams that the peer opens on a connection to the handler.
func (t *Transport) acceptStreamsOf(conn *quic.Conn) {
	name := certifiedName(conn)
	for {
		s, err := conn.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		do := t.onStream.Load()
		if do == nil {
			s.CancelRead(0)
			s.CancelWrite(0)
			continue
		}
		t.group.Go(func() { (*do)(name, t.newStream(conn, s)) })
	}
}

// WriteMessage writes v as CBOR, after its length in four bytes.
func (s *Stream) WriteMessage(v any) error {
	_, err := writeValue(s, v)
	return err
}

// ReadMessage reads a message that was written by WriteMessage into v, and no byte beyond it.
func (s *Stream) ReadMessage(v any) error { return readValue(s, maxStreamMessage, v) }
