package keepalive

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	waitTimeout = 20 * time.Second
	// pause is long enough for what was sent on loopback to arrive, in most runs.
	pause       = 10 * time.Millisecond
	requestText = "POST / HTTP/1.1\r\nHost: h\r\nNumber: %d\r\nContent-Length: 4\r\n\r\nbody"
)

// pair returns a connection as a server has it, and the caller's end of it.
func pair(t *testing.T, s *Connections) (*conn, *net.TCPConn) {
	t.Helper()
	port, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer port.Close()
	caller := dial(t, port.Addr())
	accepted, err := s.Listener(port).Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { accepted.Close() })
	return accepted.(*conn), caller
}

func dial(t *testing.T, address net.Addr) *net.TCPConn {
	t.Helper()
	caller, err := net.Dial("tcp", address.String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { caller.Close() })
	qt.Assert(t, caller.SetDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
	return caller.(*net.TCPConn)
}

// A request that had arrived on an idle connection was lost when the connection was ended, or when the time for it to
// be idle was over.
func TestRequestThatHasArrivedIsRead(t *testing.T) {
	tests := []struct {
		name string
		end  func(c *conn)
	}{
		{"the connection is ended", func(c *conn) { c.connections.EndIdle(0) }},
		{"the connection is ended before the server waits", func(c *conn) {
			c.connections.EndIdle(0)
			_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		}},
		{"the deadline passes", func(c *conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server, caller := pair(t, &Connections{Now: clock.System(), OnUnanswered: func(string, bool) {}})
			b := make([]byte, 100)
			for n, text := range []string{"first", "second"} {
				_, err := io.WriteString(caller, text)
				c.Assert(err, qt.IsNil)
				time.Sleep(pause)
				test.end(server)
				got, err := server.Read(b)
				c.Assert(err, qt.IsNil, qt.Commentf("request %d", n))
				c.Assert(string(b[:got]), qt.Equals, text)
				c.Assert(server.SetReadDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
				server.answered(server.connections.Now())
			}
		})
	}
}

// Ends of connections that are idle, or are not.
func TestEndIdle(t *testing.T) {
	tests := []struct {
		name   string
		before func(c *conn, caller net.Conn)
		after  time.Duration
		ended  bool
	}{
		{"new", func(*conn, net.Conn) {}, 0, true},
		{"not for long", func(*conn, net.Conn) {}, time.Hour, false},
		{"request partly read", func(c *conn, caller net.Conn) {
			_, _ = io.WriteString(caller, "POST")
			_, _ = io.ReadFull(c, make([]byte, 4))
		}, 0, false},
		{"answered", func(c *conn, caller net.Conn) {
			_, _ = io.WriteString(caller, "POST")
			_, _ = io.ReadFull(c, make([]byte, 4))
			c.answered(c.connections.Now())
		}, 0, true},
		{"a byte of the next request is read ahead", func(c *conn, caller net.Conn) {
			_, _ = io.WriteString(caller, "POST")
			_, _ = io.ReadFull(c, make([]byte, 3))
			_, _ = io.ReadFull(c, make([]byte, 1))
			c.answered(c.connections.Now())
		}, 0, false},
		{"the next request is read ahead", func(c *conn, caller net.Conn) {
			_, _ = io.WriteString(caller, "POST")
			_, _ = io.ReadFull(c, make([]byte, 4))
			c.answered(c.connections.Now())
			_ = c.SetReadDeadline(time.Now().Add(time.Hour)) // to wait
			_ = c.SetReadDeadline(time.Now().Add(time.Hour)) // for the rest
		}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &Connections{Now: clock.System(), OnUnanswered: func(string, bool) {}}
			server, caller := pair(t, s)
			test.before(server, caller)
			s.EndIdle(test.after)
			if !test.ended {
				time.AfterFunc(pause, func() { _, _ = io.WriteString(caller, "more") })
				_, err := io.ReadFull(server, make([]byte, 4))
				c.Assert(err, qt.IsNil)
				return
			}
			_, err := server.Read(make([]byte, 4))
			c.Assert(errors.Is(err, io.EOF), qt.IsTrue)
			c.Assert(s.Open(), qt.Equals, 1)
			c.Assert(server.Close(), qt.IsNil)
			c.Assert(s.Open(), qt.Equals, 0)
			// A request that crosses the end is not answered by a reset.
			_, err = io.WriteString(caller, "POST")
			c.Assert(err, qt.IsNil)
			_, err = caller.Read(make([]byte, 4))
			c.Assert(errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// serve serves callers and returns the address, and which numbered requests were handled.
func serve(t *testing.T, s *Connections) (address net.Addr, handled *sync.Map) {
	t.Helper()
	port, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	handled = &sync.Map{}
	server := &http.Server{IdleTimeout: waitTimeout, ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handled.Store(r.Header.Get("Number"), true)
		_, _ = io.WriteString(w, r.Header.Get("Number"))
	})}
	s.OnUnanswered = func(string, bool) {}
	s.Attach(server)
	go func() { _ = server.Serve(s.Listener(port)) }()
	t.Cleanup(func() { _ = server.Close() })
	return port.Addr(), handled
}

// exchange sends the pieces of a request and reads its answer.
func exchange(caller net.Conn, answers *bufio.Reader, number int, pieces []string) (last bool, err error) {
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(time.Millisecond)
		}
		if _, err := io.WriteString(caller, p); err != nil {
			return true, err
		}
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != strconv.Itoa(number) {
		err = Error.New("the answer is %q", body)
	}
	return resp.Close, err
}

// Two requests that are sent at once, the second one partly, were a connection's end if it was idle in between.
func TestRequestsSentAheadAreAnswered(t *testing.T) {
	first, second := fmt.Sprintf(requestText, 1), fmt.Sprintf(requestText, 2)
	for _, ahead := range []int{4, 20, len(second)} {
		t.Run(strconv.Itoa(ahead), func(t *testing.T) {
			c := qt.New(t)
			s := &Connections{Now: clock.System(), Last: func() bool { return false }}
			address, _ := serve(t, s)
			caller := dial(t, address)
			answers := bufio.NewReader(caller)
			_, err := exchange(caller, answers, 1, []string{first + second[:ahead]})
			c.Assert(err, qt.IsNil)
			time.Sleep(pause) // the server waits for the rest
			s.EndIdle(0)
			time.Sleep(pause)
			_, err = exchange(caller, answers, 2, []string{second[ahead:]})
			c.Assert(err, qt.IsNil)
		})
	}
}

// Requests on connections that were ended as idle all the while got lost, or were answered by a reset.
func TestNoRequestIsLostWhileIdleConnectionsEnd(t *testing.T) {
	c := qt.New(t)
	const callers, requests, seed = 20, 60, 1
	last := atomic.Bool{}
	s := &Connections{Now: clock.System(), Last: last.Load}
	address, handled := serve(t, s)
	done := make(chan struct{})
	var ending sync.WaitGroup
	ending.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				s.EndIdle(time.Duration(n%4) * time.Millisecond)
				last.Store(n%50 < 10)
			}
		}
	})
	var number, answered, crossed atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for sent := 0; sent < requests; {
				conn := dial(t, address)
				answers := bufio.NewReader(conn)
				for ended := false; !ended && sent < requests; sent++ {
					id := int(number.Add(1))
					text := fmt.Sprintf(requestText, id)
					cut := random.IntN(len(text))
					var err error
					ended, err = exchange(conn, answers, id, []string{text[:cut], text[cut:]})
					_, ran := handled.Load(strconv.Itoa(id))
					switch {
					case err == nil:
						answered.Add(1)
					case ran:
						c.Errorf("request %d was handled and not answered: %v", id, err)
					case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
						crossed.Add(1)
					default:
						c.Errorf("request %d: %v", id, err)
					}
					time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
				}
				conn.Close()
			}
		})
	}
	group.Wait()
	close(done)
	ending.Wait()
	c.Check(answered.Load() > callers*requests/2, qt.IsTrue, qt.Commentf("%d answered, %d crossed the end", answered.Load(), crossed.Load()))
	t.Logf("%d answered, %d crossed the end of their connections", answered.Load(), crossed.Load())
}

// The operators' limits on idle time and on the time of a header were not applied, and other, fixed ones were.
func TestExpire(t *testing.T) {
	const idle, header = 50 * time.Second, 10 * time.Second
	write := func(text string) func(c *conn, caller net.Conn) {
		return func(c *conn, caller net.Conn) {
			_, _ = io.WriteString(caller, text)
			_, _ = io.ReadFull(c, make([]byte, len(text)))
		}
	}
	answered := func(c *conn, caller net.Conn) {
		write("POST")(c, caller)
		c.handle()
		c.answered(c.connections.Now())
	}
	handle := func(c *conn) { c.handle() }
	tests := []struct {
		name   string
		before func(c *conn, caller net.Conn)
		after  time.Duration
		late   string        // arrives in the socket before the end is noticed
		then   func(c *conn) // nil: nothing
		err    error         // of the next read, nil if it gets what the caller sends
	}{
		{"new, within the time of a header", func(*conn, net.Conn) {}, header - 1e6, "", nil, nil},
		{"new, later", func(*conn, net.Conn) {}, header, "", nil, io.EOF},
		{"new, with a request", func(*conn, net.Conn) {}, header, "POST", nil, nil},
		{"header within its time", write("POST"), header - 1e6, "", nil, nil},
		{"header late", write("POST"), header, "", nil, os.ErrDeadlineExceeded},
		{"header late, with more in the socket", write("POST"), header, " / H", nil, nil},
		{"body after the time of a header", func(c *conn, caller net.Conn) {
			write("POST")(c, caller)
			c.handle()
		}, header, "", nil, nil},
		{"header complete at that moment", write("POST"), header, "", handle, nil},
		{"byte read ahead of a long answer's end", func(c *conn, caller net.Conn) {
			write("POST")(c, caller)
			c.begunAt = 0
			c.handle()
			write("P")(c, caller)
			c.answered(c.connections.Now())
		}, header - 1e6, "", nil, nil},
		{"idle within its time", answered, idle - 1e6, "", nil, nil},
		{"idle for longer", answered, idle, "", nil, io.EOF},
		{"idle, with a request", answered, idle, "POST", nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := atomic.Int64{}
			now.Store(1000)
			s := &Connections{Now: func() clock.Millis { return clock.Millis(now.Load()) }, OnUnanswered: func(string, bool) {}}
			server, caller := pair(t, s)
			test.before(server, caller)
			if test.late != "" {
				_, err := io.WriteString(caller, test.late)
				c.Assert(err, qt.IsNil)
				time.Sleep(pause)
			}
			now.Add(test.after.Milliseconds())
			s.Expire(idle, header)
			if test.then != nil {
				test.then(server)
			}
			if test.err == nil && test.late == "" {
				time.AfterFunc(pause, func() { _, _ = io.WriteString(caller, "more") })
			}
			_, err := server.Read(make([]byte, 4))
			c.Check(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
