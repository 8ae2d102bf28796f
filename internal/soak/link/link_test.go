package link_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/link"
)

// echo answers each connection with what it sends.
func echo(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func open(t *testing.T) (*link.Link, net.Conn) {
	t.Helper()
	l, err := link.New(echo(t))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(l.Close)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Address.String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	return l, c
}

func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	qt.Assert(t, err, qt.IsNil)
}

func hear(t *testing.T, c net.Conn, n int) string {
	t.Helper()
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}

// A link that refuses does so as a dead port does, and nobody else gets its address
// meanwhile: another run's endpoint there would see requests of this one.
func TestRefusedLinkKeepsItsPort(t *testing.T) {
	c := qt.New(t)
	l, _ := open(t)
	l.Set(link.Refused)
	_, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Address.String())
	c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
	_, err = (&net.ListenConfig{}).Listen(t.Context(), "tcp", l.Address.String())
	c.Assert(errors.Is(err, syscall.EADDRINUSE), qt.IsTrue, qt.Commentf("%v", err))
	l.Set(link.Clean)
	again, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Address.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = again.Close() }()
	say(t, again, "back")
	c.Assert(hear(t, again, 4), qt.Equals, "back")
}

// Whatever a link holds passes, whole and in order, once it is clean again.
func TestHeldBytesPassLater(t *testing.T) {
	tests := []struct {
		name  string
		fault link.Fault
	}{
		{"clean", link.Clean},
		{"delayed", link.Delayed},
		{"no answers", link.NoAnswers},
		{"silent", link.Silent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, c := open(t)
			say(t, c, "one")
			qt.Assert(t, hear(t, c, 3), qt.Equals, "one")
			l.Set(test.fault)
			say(t, c, "two")
			say(t, c, "three")
			l.Set(link.Clean)
			qt.Assert(t, hear(t, c, 8), qt.Equals, "twothree")
		})
	}
}

func TestResetsAreSeen(t *testing.T) {
	l, c := open(t)
	say(t, c, "one")
	qt.Assert(t, hear(t, c, 3), qt.Equals, "one")
	l.Reset()
	_, err := c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	l.Set(link.Refused)
	again, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Address.String())
	if err != nil {
		return // the reset came while it connected
	}
	defer func() { _ = again.Close() }()
	_, err = again.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
}
