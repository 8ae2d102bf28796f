package overload_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/overload"
	"github.com/trailshed/trailshed/pkg/clock"
)

// delays sets the time that connections seem to wait for the processor.
type delays struct {
	now   atomic.Int64
	delay atomic.Int64
	calls atomic.Int64
}

// Now returns, by turns, the time of an accept and the time of the start of its goroutine.
func (d *delays) Now() clock.Millis {
	if d.calls.Add(1)%2 == 0 {
		d.now.Add(d.delay.Load())
	}
	return clock.Millis(d.now.Load())
}

func listen(t *testing.T, l *overload.Listener) string {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Listener = inner
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + inner.Addr().String()
}

// get requests a page on a new connection and reports whether it was answered.
func get(t *testing.T, address string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, address, nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// While the instance is overloaded, connections that waited too long are closed unread, and all others
// are served.
func TestLateConnectionsAreClosedUnread(t *testing.T) {
	c := qt.New(t)
	d, unread := &delays{}, atomic.Int64{}
	d.now.Store(1000)
	var changes []bool
	address := listen(t, &overload.Listener{
		MaxConnections: 100, Now: d.Now,
		OnChange: func(overloaded bool, _ int64) { changes = append(changes, overloaded) },
		OnUnread: func(reason string) {
			c.Check(reason, qt.Equals, overload.ReasonOverloaded)
			unread.Add(1)
		},
	})
	steps := []struct {
		delay    time.Duration
		answered bool
	}{
		{0, true},
		{200 * time.Millisecond, true}, // a burst
		{200 * time.Millisecond, true},
		{0, true},
		{300 * time.Millisecond, true},
		{300 * time.Millisecond, true},
		{300 * time.Millisecond, false}, // they have waited for half a second
		{300 * time.Millisecond, false},
		{100 * time.Millisecond, true},
		{150 * time.Millisecond, false},
		{100 * time.Millisecond, true},
	}
	for n, step := range steps {
		d.delay.Store(step.delay.Milliseconds())
		c.Check(get(t, address), qt.Equals, step.answered, qt.Commentf("step %d", n))
	}
	c.Check(unread.Load(), qt.Equals, int64(3))
	d.now.Add(2500)
	d.delay.Store(0)
	c.Check(get(t, address), qt.IsTrue)
	c.Check(changes, qt.DeepEquals, []bool{true, false})
}

// Connections above the limit are closed unread, and others are accepted as soon as earlier ones end.
func TestConnectionsAreLimited(t *testing.T) {
	c := qt.New(t)
	unread := atomic.Int64{}
	address := listen(t, &overload.Listener{
		MaxConnections: 2, Now: func() clock.Millis { return 1000 },
		OnChange: func(bool, int64) {}, OnUnread: func(string) { unread.Add(1) },
	})
	var open []net.Conn
	for range 2 {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address[len("http://"):])
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	c.Check(get(t, address), qt.IsFalse)
	c.Check(unread.Load(), qt.Equals, int64(1))
	_ = open[0].Close()
	for !get(t, address) { // the server notices the end of the connection soon
		time.Sleep(time.Millisecond)
	}
	_ = open[1].Close()
}
