package overload_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
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

// listen serves on l, which decides nothing unless the test sets it to.
func listen(t *testing.T, l *overload.Listener) string {
	address := "127.0.0.1:0"
	l.Listen = func() (net.Listener, error) {
		return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	}
	if l.Room == nil {
		l.Room = func(int) (int, int) { return 100, 1 }
	}
	if l.Admit == nil {
		l.Admit = func(time.Duration) bool { return true }
	}
	if l.OnUnread == nil {
		l.OnUnread = func(string) {}
	}
	if l.OnRefused == nil {
		l.OnRefused = func(_ time.Duration, err error) { qt.Check(t, err, qt.IsNil) }
	}
	qt.Assert(t, l.Open(), qt.IsNil)
	address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + address
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

// Connections that are not admitted after their wait for the processor are closed unread, and all others are
// served.
func TestLateConnectionsAreClosedUnread(t *testing.T) {
	c := qt.New(t)
	d, unread := &delays{}, atomic.Int64{}
	d.now.Store(1000)
	var waits []time.Duration
	address := listen(t, &overload.Listener{
		MaxConnections: 100, Now: d.Now,
		Admit: func(waited time.Duration) bool {
			waits = append(waits, waited)
			return waited <= 200*time.Millisecond
		},
		OnUnread: func(reason string) {
			c.Check(reason, qt.Equals, overload.ReasonOverloaded)
			unread.Add(1)
		},
	})
	var want []time.Duration
	for n, delay := range []time.Duration{0, 200 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond, 201 * time.Millisecond, 0} {
		d.delay.Store(delay.Milliseconds())
		want = append(want, delay)
		c.Check(get(t, address), qt.Equals, delay <= 200*time.Millisecond, qt.Commentf("connection %d", n))
	}
	c.Check(unread.Load(), qt.Equals, int64(2))
	c.Check(waits, qt.DeepEquals, want)
}

// A connection that waits behind goroutines that were runnable before shows that wait: its own goroutine, which is
// new, would run before them.
func TestWaitBehindOthersIsSeen(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	var busy sync.WaitGroup
	defer busy.Wait()
	defer cancel()
	longest := atomic.Int64{}
	address := listen(t, &overload.Listener{
		MaxConnections: 100, Now: clock.System(),
		Admit: func(waited time.Duration) bool {
			longest.Store(max(longest.Load(), waited.Milliseconds()))
			return true
		},
	})
	for range 20 {
		busy.Go(func() {
			for ctx.Err() == nil {
				for start := time.Now(); time.Since(start) < 5*time.Millisecond; {
				}
				runtime.Gosched()
			}
		})
	}
	for end := time.Now().Add(20 * time.Second); longest.Load() < 50; {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("the longest wait seen is %d ms", longest.Load()))
		qt.Assert(t, get(t, address), qt.IsTrue)
	}
}

// Connections above the limit are refused or closed unread, and others are accepted as soon as earlier ones end.
func TestConnectionsAreLimited(t *testing.T) {
	c := qt.New(t)
	address := listen(t, &overload.Listener{MaxConnections: 2, Now: clock.System()})
	var open []net.Conn
	for range 2 {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address[len("http://"):])
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	c.Check(get(t, address), qt.IsFalse)
	_ = open[0].Close()
	for !get(t, address) { // the server notices the end of the connection soon
		time.Sleep(time.Millisecond)
	}
	_ = open[1].Close()
}

// While the instance is full the host refuses connections, which costs its link no request, and it accepts them
// again once there is room, or after a second.
func TestFullInstanceRefusesConnections(t *testing.T) {
	c := qt.New(t)
	full, refused := atomic.Bool{}, make(chan time.Duration, 10)
	address := listen(t, &overload.Listener{
		MaxConnections: 100, Now: clock.System(), Room: roomUnless(&full),
		OnRefused: func(length time.Duration, err error) {
			c.Check(err, qt.IsNil)
			refused <- length
		},
	})
	c.Assert(get(t, address), qt.IsTrue)
	full.Store(true)
	for !isRefused(address) { // the connection that is accepted next closes the port
	}
	full.Store(false)
	<-refused
	c.Assert(get(t, address), qt.IsTrue)

	full.Store(true)
	for !isRefused(address) {
	}
	c.Check(<-refused >= time.Second, qt.IsTrue)
	c.Check(isRefused(address), qt.IsFalse)
}

// roomUnless returns a Listener.Room that has room unless the instance is full.
func roomUnless(full *atomic.Bool) func(int) (int, int) {
	return func(int) (int, int) {
		if full.Load() {
			return 0, 1
		}
		return 100, 1
	}
}

// isRefused reports whether the host refuses a connection.
func isRefused(address string) bool {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address[len("http://"):])
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// A listener that is closed while it refuses connections ends.
func TestCloseWhileRefusing(t *testing.T) {
	full := atomic.Bool{}
	l := &overload.Listener{MaxConnections: 100, Now: clock.System(), Room: roomUnless(&full)}
	address := listen(t, l)
	full.Store(true)
	for !isRefused(address) {
	}
	qt.Assert(t, l.Close(), qt.IsNil)
	_, err := l.Accept()
	qt.Check(t, errors.Is(err, net.ErrClosed), qt.IsTrue)
	qt.Check(t, l.Close(), qt.IsNil)
}

// Connections that wait to be read count until they are.
func TestUnreadConnectionsAreCounted(t *testing.T) {
	c := qt.New(t)
	most := atomic.Int64{}
	address := listen(t, &overload.Listener{
		MaxConnections: 100, Now: clock.System(),
		Room: func(unread int) (int, int) {
			most.Store(max(most.Load(), int64(unread)))
			return 100, 1
		},
		Admit: func(time.Duration) bool {
			time.Sleep(20 * time.Millisecond)
			return true
		},
	})
	for range 3 {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address[len("http://"):])
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
	}
	for end := time.Now().Add(20 * time.Second); most.Load() < 2; {
		c.Assert(time.Now().Before(end), qt.IsTrue)
		c.Assert(get(t, address), qt.IsTrue)
	}
}

// Whole requests that were in the queue of the port when a planned stop closed it were answered by resets.
func TestFinishServesTheQueue(t *testing.T) {
	tests := []struct {
		name string
		full bool
	}{{"with room", false}, {"without room", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			full := atomic.Bool{}
			l := &overload.Listener{
				MaxConnections: 100, Now: clock.System(), Room: roomUnless(&full), Admit: func(time.Duration) bool { return true },
				OnUnread: func(string) {}, OnRefused: func(time.Duration, error) {},
				Listen: func() (net.Listener, error) {
					return (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
				},
			}
			c.Assert(l.Open(), qt.IsNil)
			var queue []net.Conn
			for range 20 {
				conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
				c.Assert(err, qt.IsNil)
				queue = append(queue, conn)
			}
			full.Store(test.full)
			finished := make(chan struct{})
			go func() {
				defer close(finished)
				l.Finish()
			}()
			time.Sleep(50 * time.Millisecond) // the process is late
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(l) }()
			answered := 0
			for _, conn := range queue {
				c.Assert(conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
				answer, err := io.ReadAll(conn)
				if err == nil && len(answer) > 0 {
					answered++
				}
			}
			c.Check(answered, qt.Equals, len(queue))
			<-finished
			c.Check(isRefused("http://"+l.Addr().String()), qt.IsTrue)
			_, err := l.Accept()
			c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
			_ = server.Close()
		})
	}
}

// A planned stop that begins while all connections are refused waits for no connection.
func TestFinishWhileRefusing(t *testing.T) {
	full := atomic.Bool{}
	l := &overload.Listener{MaxConnections: 100, Now: clock.System(), Room: roomUnless(&full)}
	address := listen(t, l)
	full.Store(true)
	for !isRefused(address) {
	}
	l.Finish()
	_, err := l.Accept()
	qt.Check(t, errors.Is(err, net.ErrClosed), qt.IsTrue)
}
