package overload

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/pkg/clock"
)

func TestQueueLength(t *testing.T) {
	c := qt.New(t)
	port, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Check(queueLength(port), qt.Equals, 0)
	for n := range 3 {
		conn, err := net.Dial("tcp", port.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		for end := time.Now().Add(20 * time.Second); queueLength(port) <= n; {
			c.Assert(time.Now().Before(end), qt.IsTrue)
		}
	}
	_, err = port.Accept()
	c.Assert(err, qt.IsNil)
	c.Check(queueLength(port), qt.Equals, 2)
	c.Assert(port.Close(), qt.IsNil)
	c.Check(queueLength(port), qt.Equals, 0)
}

// A process that was late when its planned stop began took the queue of its port for empty, and reset the requests
// in it.
func TestLateProcessIsNotFinishedBeforeItsQueue(t *testing.T) {
	c := qt.New(t)
	l := &Listener{Now: func() clock.Millis { return 1 }}
	port, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l.Listen = func() (net.Listener, error) { return port, nil }
	c.Assert(l.Open(), qt.IsNil)
	l.finishing = 2
	conn, err := net.Dial("tcp", port.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	for end := time.Now().Add(20 * time.Second); queueLength(port) == 0; {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	c.Check(l.finished(port), qt.IsFalse)
	_, err = port.Accept()
	c.Assert(err, qt.IsNil)
	c.Check(l.finished(port), qt.IsTrue)
}

// Connections that were reset in the queue of a port that was closed for lack of room left no trace.
func TestQueueIsCountedAtRefusal(t *testing.T) {
	c := qt.New(t)
	port, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var unread []string
	room := 0
	l := &Listener{
		MaxConnections: 10, Now: clock.System(), Listen: func() (net.Listener, error) { return port, nil },
		Room: func(int) (int, int) { return room, 0 }, OnUnread: func(reason string) {
			unread = append(unread, reason)
			room = 1 // open the port again
		},
		OnRefused: func(time.Duration, error) {},
	}
	c.Assert(l.Open(), qt.IsNil)
	for n := range 3 {
		conn, err := net.Dial("tcp", port.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		for end := time.Now().Add(20 * time.Second); queueLength(port) <= n; {
			c.Assert(time.Now().Before(end), qt.IsTrue)
		}
	}
	l.refuse()
	c.Check(unread, qt.DeepEquals, []string{ReasonQueued, ReasonQueued, ReasonQueued})
}
