package peer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/standin/cert"
)

// streamPair returns two transports.
func streamPair(t *testing.T) (a, b *node) {
	t.Helper()
	dir := t.TempDir()
	authority, err := cert.NewAuthority(dir)
	qt.Assert(t, err, qt.IsNil)
	a = open(t, "n1", certificates(t, dir, "n1", authority), handleNothing)
	b = open(t, "n2", certificates(t, dir, "n2", authority), handleNothing)
	t.Cleanup(a.close)
	t.Cleanup(b.close)
	return a, b
}

// echo answers one message and then returns all bytes.
func echo(from string, s *peer.Stream) {
	var text string
	if s.ReadMessage(&text) == nil && s.WriteMessage(from+" said "+text) == nil {
		_, _ = io.Copy(s.Stream, s)
	}
	s.Finish()
}

func TestStream(t *testing.T) {
	c := qt.New(t)
	a, b := streamPair(t)
	b.HandleStreams(echo)
	for range 2 { // the second stream uses the connection of the first
		s, err := a.OpenStream(t.Context(), b.Address())
		c.Assert(err, qt.IsNil)
		c.Assert(s.WriteMessage("hello"), qt.IsNil)
		var answer string
		c.Assert(s.ReadMessage(&answer), qt.IsNil)
		c.Assert(answer, qt.Equals, "n1 said hello")
		_, err = s.Write([]byte("bytes"))
		c.Assert(err, qt.IsNil)
		c.Assert(s.Close(), qt.IsNil)
		rest, err := io.ReadAll(s)
		c.Assert(err, qt.IsNil)
		c.Assert(string(rest), qt.Equals, "bytes")
		s.Finish()
	}
	// The peer opens a stream on the connection that was made to it.
	a.HandleStreams(echo)
	s, err := b.OpenStream(t.Context(), a.Address())
	c.Assert(err, qt.IsNil)
	defer s.Finish()
	c.Assert(s.WriteMessage("you"), qt.IsNil)
	var answer string
	c.Assert(s.ReadMessage(&answer), qt.IsNil)
	c.Assert(answer, qt.Equals, "n2 said you")
}

// A process that handles no streams ends them, rather than leave the peer waiting.
func TestStreamWithoutHandler(t *testing.T) {
	c := qt.New(t)
	a, b := streamPair(t)
	s, err := a.OpenStream(t.Context(), b.Address())
	c.Assert(err, qt.IsNil)
	defer s.Abort()
	_ = s.WriteMessage("hello") // may fail already
	var answer string
	c.Assert(s.ReadMessage(&answer), qt.IsNotNil)
}

// An aborted stream must not look complete to the other side.
func TestAbortedStream(t *testing.T) {
	c := qt.New(t)
	a, b := streamPair(t)
	ended := make(chan error, 1)
	b.HandleStreams(func(_ string, s *peer.Stream) {
		var text string
		_ = s.ReadMessage(&text)
		_, err := io.Copy(io.Discard, s)
		ended <- err
		s.Abort()
	})
	s, err := a.OpenStream(t.Context(), b.Address())
	c.Assert(err, qt.IsNil)
	c.Assert(s.WriteMessage("hello"), qt.IsNil)
	s.Abort()
	c.Assert(<-ended, qt.IsNotNil)
}

// Nobody listens at the address, or the peer has closed.
func TestStreamToNobody(t *testing.T) {
	c := qt.New(t)
	a, b := streamPair(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	closed, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	c.Assert(err, qt.IsNil)
	c.Assert(closed.Close(), qt.IsNil)
	_, err = a.OpenStream(ctx, closed.LocalAddr().(*net.UDPAddr).AddrPort())
	c.Assert(err, qt.IsNotNil)
	c.Assert(a.Close(), qt.IsNil)
	_, err = a.OpenStream(t.Context(), b.Address())
	c.Assert(err, qt.IsNotNil)
}

// Guards against a number of bytes that a peer did not read: only one that ends the stream in order tells it.
func TestReadByPeer(t *testing.T) {
	tests := []struct {
		name string
		end  func(s *peer.Stream)
		read int64
	}{
		{"told", func(s *peer.Stream) { s.FinishAfter(4) }, 4},
		{"not told", (*peer.Stream).Finish, 0},
		{"aborted", (*peer.Stream).Abort, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a, b := streamPair(t)
			read := make(chan int64, 1)
			b.HandleStreams(func(_ string, s *peer.Stream) {
				defer s.Finish()
				_, _ = s.Write([]byte("some bytes"))
				read <- s.ReadByPeer(t.Context())
			})
			s, err := a.OpenStream(t.Context(), b.Address())
			c.Assert(err, qt.IsNil)
			c.Assert(s.WriteMessage("hello"), qt.IsNil)
			_, err = io.ReadFull(s, make([]byte, 4))
			c.Assert(err, qt.IsNil)
			test.end(s)
			c.Assert(<-read, qt.Equals, test.read)
		})
	}
}
