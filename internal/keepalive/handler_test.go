package keepalive

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/pkg/clock"
)

// end is how a request ended without a whole answer.
type end struct {
	reason string
	begun  bool
}

// unansweredServer serves one handler and reports how requests end.
type unansweredServer struct {
	*http.Server
	connections *Connections
	address     net.Addr
	handling    chan struct{} // the handler has begun
	ends        chan end
	panics      chan any
}

func newUnansweredServer(t *testing.T, handle func(w http.ResponseWriter, r *http.Request)) *unansweredServer {
	t.Helper()
	port, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &unansweredServer{address: port.Addr(), handling: make(chan struct{}, 10), ends: make(chan end, 10), panics: make(chan any, 10)}
	s.connections = &Connections{
		Now: clock.System(), Last: func() bool { return false },
		OnPanic:      func(_ *http.Request, value any, _ []byte) { s.panics <- value },
		OnUnanswered: func(reason string, begun bool) { s.ends <- end{reason, begun} },
	}
	s.Server = &http.Server{ReadHeaderTimeout: 10 * pause, IdleTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handling <- struct{}{}
		handle(w, r)
	})}
	s.connections.Attach(s.Server)
	go func() { _ = s.Serve(s.connections.Listener(port)) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// next returns the next end of a request.
func next(t *testing.T, ends chan end) (e end) {
	t.Helper()
	select {
	case e = <-ends:
	case <-time.After(waitTimeout):
		t.Fatal("no request has ended without an answer")
	}
	return e
}

func beginAnswer(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "begun")
	_ = http.NewResponseController(w).Flush()
}

// Requests ended without an answer, or with a part of one that looked whole, and no metric showed why.
func TestUnansweredRequests(t *testing.T) {
	request := fmt.Sprintf(requestText, 1)
	unfinished := request[:len(request)-2]
	ignore := func(*unansweredServer, *net.TCPConn) {}
	tests := []struct {
		name   string
		handle func(w http.ResponseWriter, r *http.Request)
		sent   string
		then   func(s *unansweredServer, caller *net.TCPConn)
		want   end // none if its reason is empty
		status int // of the answer that the caller gets, 0 if none
		whole  bool
	}{
		{"answered", func(w http.ResponseWriter, _ *http.Request) { beginAnswer(w) }, request, ignore, end{}, 200, true},
		{"no HTTP", nil, "nonsense\r\n\r\n", ignore, end{}, 400, true},
		{"the caller leaves inside the header", nil, request[:20], func(_ *unansweredServer, caller *net.TCPConn) { _ = caller.CloseWrite() }, end{}, 400, true},
		{"the rest of the header does not come", nil, "POST / HTTP/1.1\r\n", ignore, end{ReasonHeaderTimeout, false}, 0, false},
		{"the rest of the body does not come", func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(pause))
			_, err := io.ReadAll(r.Body)
			qt.Check(t, err, qt.IsNotNil)
			panic(http.ErrAbortHandler)
		}, unfinished, ignore, end{ReasonBodyTimeout, false}, 0, false},
		{"the caller leaves inside the body", func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			qt.Check(t, err, qt.IsNotNil)
			panic(http.ErrAbortHandler)
		}, unfinished, func(_ *unansweredServer, caller *net.TCPConn) { _ = caller.CloseWrite() }, end{ReasonCallerLeft, false}, 0, false},
		{"no answer is written", func(http.ResponseWriter, *http.Request) {}, request, ignore, end{ReasonAborted, false}, 0, false},
		{"the handler aborts", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, request, ignore, end{ReasonAborted, false}, 0, false},
		{"the handler aborts an answer", func(w http.ResponseWriter, _ *http.Request) {
			beginAnswer(w)
			panic(http.ErrAbortHandler)
		}, request, ignore, end{ReasonAborted, true}, 200, false},
		{"the handler panics", func(http.ResponseWriter, *http.Request) { panic("panic") }, request, ignore, end{}, 502, true},
		{"the handler panics in an answer", func(w http.ResponseWriter, _ *http.Request) {
			beginAnswer(w)
			panic("panic")
		}, request, ignore, end{ReasonPanicked, true}, 200, false},
		{"the caller closes its sending side during the answer", func(w http.ResponseWriter, r *http.Request) {
			beginAnswer(w)
			<-r.Context().Done()
		}, request, func(s *unansweredServer, caller *net.TCPConn) {
			<-s.handling
			_ = caller.CloseWrite()
		}, end{ReasonCallerLeft, true}, 200, false},
		{"the caller does not read", func(w http.ResponseWriter, _ *http.Request) {
			control := http.NewResponseController(w)
			_ = control.SetWriteDeadline(time.Now().Add(pause))
			for err := error(nil); err == nil; err = control.Flush() {
				_, _ = io.WriteString(w, "event")
			}
		}, request, func(s *unansweredServer, _ *net.TCPConn) {
			for len(s.ends) == 0 {
				time.Sleep(time.Millisecond)
			}
		}, end{ReasonCallerStalled, true}, 200, false},
		{"the handler aborts an answer since the process is to end", func(w http.ResponseWriter, _ *http.Request) {
			beginAnswer(w)
			panic(ErrStopped)
		}, request, ignore, end{ReasonStopped, true}, 200, false},
		{"the process ends", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, request, func(s *unansweredServer, _ *net.TCPConn) {
			<-s.handling
			s.connections.Abandon()
			_ = s.Close()
		}, end{ReasonStopped, false}, 0, false},
		{"the process ends inside the header", nil, request[:20], func(s *unansweredServer, _ *net.TCPConn) {
			time.Sleep(pause)
			s.connections.Abandon()
			_ = s.Close()
		}, end{ReasonStopped, false}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newUnansweredServer(t, test.handle)
			caller := dial(t, s.address)
			_, err := io.WriteString(caller, test.sent)
			c.Assert(err, qt.IsNil)
			test.then(s, caller)
			status, whole := 0, false
			if resp, err := http.ReadResponse(bufio.NewReader(caller), nil); err == nil {
				_, err = io.ReadAll(resp.Body)
				status, whole = resp.StatusCode, err == nil
				_ = resp.Body.Close()
			}
			c.Check(status, qt.Equals, test.status)
			c.Check(whole, qt.Equals, test.whole)
			if test.want.reason != "" {
				c.Check(next(t, s.ends), qt.Equals, test.want)
			}
			_ = caller.Close()
			for end := time.Now().Add(waitTimeout); s.connections.Open() > 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(end), qt.IsTrue)
			}
			c.Check(s.ends, qt.HasLen, 0)
		})
	}
}

// A request that arrived and was never read shows when the process ends.
func TestUnreadRequestIsReported(t *testing.T) {
	tests := []struct {
		name string
		end  func(c *conn) error
		want string
	}{
		{"the process ends", func(c *conn) error {
			c.connections.Abandon()
			return c.Close()
		}, ReasonUnread},
		{"it crosses the end of an idle connection", func(c *conn) error {
			c.ended = true
			return c.Close()
		}, ReasonCrossed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ends := make(chan end, 10)
			server, caller := pair(t, &Connections{Now: clock.System(), OnUnanswered: func(reason string, begun bool) { ends <- end{reason, begun} }})
			_, err := io.WriteString(caller, "POST")
			c.Assert(err, qt.IsNil)
			time.Sleep(pause)
			c.Assert(test.end(server), qt.IsNil)
			_, err = caller.Read(make([]byte, 1))
			c.Check(err, qt.IsNotNil)
			c.Check(errors.Is(err, io.EOF), qt.Equals, test.want == ReasonCrossed)
			_ = caller.Close()
			c.Check(next(t, ends), qt.Equals, end{test.want, false})
		})
	}
}

// A request was cancelled as it began: the time of its header was found to be over after the server had begun to watch the
// caller, and before the handler had the request.
func TestExpireBesideBeginOfHandler(t *testing.T) {
	c := qt.New(t)
	s := &Connections{Now: clock.System(), Last: func() bool { return false }, OnUnanswered: func(string, bool) {}}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			c.Error("the request is cancelled")
		case <-time.After(10 * pause):
		}
		_, _ = io.WriteString(w, "ok")
	})}
	s.Attach(server)
	attached := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { // the process waits for the processor
		s.Expire(time.Hour, 0)
		time.Sleep(pause)
		attached.ServeHTTP(w, r)
	})
	port, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(s.Listener(port)) }()
	caller := dial(t, port.Addr())
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	c.Assert(err, qt.IsNil)
	c.Check(resp.Body.Close(), qt.IsNil)
}

// A request that had been read whole got no answer after a deadline for its body had cut the server's watch of the caller.
func TestRequestIsAnsweredAfterDeadlineOfBody(t *testing.T) {
	c := qt.New(t)
	s := newUnansweredServer(t, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		_ = control.SetReadDeadline(time.Unix(1, 0))
		time.Sleep(pause)
		_ = control.SetReadDeadline(time.Time{})
		w.Header().Set("Connection", "close")
		http.Error(w, "not run: stopping", http.StatusServiceUnavailable)
	})
	caller := dial(t, s.address)
	_, err := io.WriteString(caller, fmt.Sprintf(requestText, 1))
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Body.Close(), qt.IsNil)
}
