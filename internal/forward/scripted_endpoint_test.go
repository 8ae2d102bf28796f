package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the messages between an instance and the scripted endpoints.
const (
	scriptedID     = "Id"
	scriptedNotRun = "Not-Run"
	scriptedSigned = "Signed"
	scriptedStage  = "Stage"
	scriptedHandle = "Handle"
	scriptedLast   = "Last"
)

// scriptedAct is what an endpoint does with a request that has arrived.
type scriptedAct struct {
	kind     string
	status   int
	signed   bool
	delay    time.Duration // before the answer
	interval time.Duration // between two events of a stream
	repeat   time.Duration // after which the answer is sent again, or earlier in front of the next one; 0: it is not
}

// scriptedDial is how a connection comes up.
type scriptedDial struct {
	kind string
	wait time.Duration
}

// scriptedEndpoints are endpoints that act on the requests in the order of their arrival by a script, and serve those
// after it.
type scriptedEndpoints struct {
	acts  []scriptedAct
	dials []scriptedDial

	mu       sync.Mutex
	conns    []net.Conn
	dialed   int
	sends    int
	withheld int64            // promises that the instance kept back at the last moment
	runs     map[string]int   // by request
	written  map[string]bool  // whether a part of a request was written
	given    map[string][]int // statuses of signed answers, by request
	ends     sync.WaitGroup   // of the connections
	notes    []string         // what happened
	// dialTimes are when the opening of connections began and ended.
	dialTimes [][2]time.Time
	began     time.Time
}

func newScriptedEndpoints(acts []scriptedAct, dials []scriptedDial) *scriptedEndpoints {
	return &scriptedEndpoints{acts: acts, dials: dials, runs: map[string]int{}, written: map[string]bool{}, given: map[string][]int{}, began: time.Now()}
}

// note adds to what happened. The lock must be held.
func (s *scriptedEndpoints) note(format string, args ...any) {
	s.notes = append(s.notes, fmt.Sprintf("%v ", time.Since(s.began))+fmt.Sprintf(format, args...))
}

// dialedAt reports whether a connection was being opened at a time, to the end of that time.
func (s *scriptedEndpoints) dialedAt(at time.Time) bool {
	return slices.ContainsFunc(s.dialTimes, func(d [2]time.Time) bool { return !at.Before(d[0]) && !at.After(d[1]) })
}

// close ends all connections and waits until nothing acts any more.
func (s *scriptedEndpoints) close() {
	s.mu.Lock()
	conns := s.conns
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	s.ends.Wait()
}

// scriptedConn is an instance's end of a connection.
type scriptedConn struct {
	net.Conn
	endpoints *scriptedEndpoints
	fails     bool // in its first write, of which it passes on a part
	part      int  // percent
}

func (c scriptedConn) Write(b []byte) (int, error) {
	part := b
	if c.fails {
		part = b[:len(b)*c.part/100]
	}
	n, err := c.Conn.Write(part)
	if r, unreadable := http.ReadRequest(bufio.NewReader(bytes.NewReader(b))); n > 0 && unreadable == nil {
		c.endpoints.noteWritten(r.Header.Get(scriptedID))
	}
	if c.fails {
		err = errors.Join(errors.New("the write fails"), err)
	}
	return n, err
}

func (s *scriptedEndpoints) noteWritten(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[id] = true
}

// dial connects to the endpoint at an address.
func (s *scriptedEndpoints) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	s.mu.Lock()
	d := scriptedDial{}
	if s.dialed < len(s.dials) {
		d = s.dials[s.dialed]
	}
	s.dialed++
	s.note("dial %v: %+v", to, d)
	s.mu.Unlock()
	began := time.Now()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dialTimes = append(s.dialTimes, [2]time.Time{began, time.Now()})
	}()
	select {
	case <-time.After(d.wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.kind == "refused" {
		return nil, errors.New("connection refused")
	}
	ours, theirs := net.Pipe()
	s.mu.Lock()
	s.conns = append(s.conns, theirs)
	s.mu.Unlock()
	requests := make(chan *http.Request, 8)
	s.ends.Go(func() { receiveScripted(theirs, requests) })
	s.ends.Go(func() { s.answer(theirs, to, requests) })
	part, fails := map[string]int{"unwritten": 0, "half written": 50, "written": 100}[d.kind]
	return scriptedConn{ours, s, fails, part}, nil
}

// receiveScripted reads requests as they arrive, also while an answer is being written.
func receiveScripted(conn net.Conn, requests chan<- *http.Request) {
	defer close(requests)
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		requests <- r
	}
}

// answer answers the requests on a connection.
func (s *scriptedEndpoints) answer(conn net.Conn, at netip.AddrPort, requests <-chan *http.Request) {
	defer func() { _ = conn.Close() }()
	former, late := "", time.Duration(0)
	for {
		var timer <-chan time.Time
		if former != "" {
			timer = time.After(late)
		}
		var r *http.Request
		open := true
		select {
		case r, open = <-requests:
		case <-timer:
		}
		if !open {
			return
		}
		if former != "" && !writeScripted(conn, former) {
			return
		}
		former = ""
		if r == nil {
			continue
		}
		a := s.arrive(r, at)
		time.Sleep(a.delay)
		text, ends := s.text(r, a)
		if !writeScripted(conn, text...) || ends {
			return
		}
		if a.repeat > 0 {
			former, late = strings.Join(text, ""), a.repeat
		}
	}
}

func writeScripted(conn net.Conn, parts ...string) bool {
	for _, part := range parts {
		if wait, err := time.ParseDuration(part); err == nil {
			time.Sleep(wait)
			continue
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return false
		}
	}
	return true
}

// arrive records a request and returns what is to be done with it.
func (s *scriptedEndpoints) arrive(r *http.Request, at netip.AddrPort) scriptedAct {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get(scriptedID)
	if id == "" {
		return scriptedAct{kind: "freed"}
	}
	a := scriptedAct{kind: "serve"}
	if s.sends < len(s.acts) {
		a = s.acts[s.sends]
	}
	if a.kind == "reject the KV cache" && r.Header.Get(scriptedHandle) == "" {
		a.kind = "serve"
	}
	s.sends++
	s.note("%s at %v, stage %q, handle %q: %+v", id, at, r.Header.Get(scriptedStage), r.Header.Get(scriptedHandle), a)
	if !a.rejects() && r.Header.Get(scriptedStage) == "" {
		s.runs[id]++
		if a.kind == "status" && a.signed {
			s.given[id] = append(s.given[id], a.status)
		}
	}
	return a
}

// rejects reports whether the request does not run.
func (a scriptedAct) rejects() bool {
	return strings.HasPrefix(a.kind, "reject") || a.kind == "misdirected"
}

// scriptedHead returns an answer without a body.
func scriptedHead(status int, id string, lines ...string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " Status\r\n" + scriptedID + ": " + id + "\r\n" + strings.Join(append(lines, "Content-Length: 0\r\n\r\n"), "")
}

// scriptedBody is the body of the answer to a plain request.
func scriptedBody(id string) string { return "answer to " + id }

// scriptedEvents is how many events a stream has.
const scriptedEvents = 4

func scriptedEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// whole returns a sound answer, in parts with the time between them.
func (a scriptedAct) whole(r *http.Request) []string {
	id := r.Header.Get(scriptedID)
	head := "HTTP/1.1 200 OK\r\n" + scriptedID + ": " + id + "\r\n" + scriptedSigned + ": 1\r\n"
	if r.Header.Get(scriptedStage) != "" || !strings.HasPrefix(r.URL.Path, "/stream") {
		body := scriptedBody(id)
		return []string{head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body}
	}
	last, _ := strconv.Atoi(r.Header.Get(scriptedLast)) // 0 without one
	length, parts := 0, []string{}
	for n := last + 1; n <= scriptedEvents; n++ {
		event := scriptedEvent(id, n)
		length += len(event)
		parts = append(parts, event, a.interval.String())
	}
	return append([]string{head + "Content-Type: text/event-stream\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"}, parts...)
}

// text returns the answer to a request in parts, and whether the connection ends after it.
func (s *scriptedEndpoints) text(r *http.Request, a scriptedAct) (parts []string, ends bool) {
	id := r.Header.Get(scriptedID)
	rejection := scriptedHead(http.StatusServiceUnavailable, id, scriptedNotRun+": 1\r\n")
	whole := a.whole(r)
	switch a.kind {
	case "freed":
		return []string{scriptedHead(http.StatusOK, "")}, false
	case "reject", "reject the KV cache":
		return []string{rejection}, false
	case "reject twice":
		return []string{rejection + rejection}, false
	case "reject and close":
		return []string{rejection}, true
	case "misdirected":
		return []string{scriptedHead(http.StatusMisdirectedRequest, id)}, false
	case "status":
		if a.signed {
			return []string{scriptedHead(a.status, id, scriptedSigned+": 1\r\n")}, false
		}
		return []string{scriptedHead(a.status, id)}, false
	case "status, then reject":
		return []string{scriptedHead(http.StatusServiceUnavailable, id) + rejection}, false
	case "interim":
		return append([]string{"HTTP/1.1 103 Early Hints\r\n" + scriptedID + ": " + id + "\r\n" + scriptedNotRun + ": 1\r\n\r\n"}, whole...), false
	case "another's rejection":
		return append([]string{scriptedHead(http.StatusServiceUnavailable, "other", scriptedNotRun+": 1\r\n")}, whole...), false
	case "no id":
		return []string{strings.Replace(whole[0], scriptedID+": "+id+"\r\n", "", 1)}, true
	case "break off before":
		return nil, true
	case "break off inside the head":
		return []string{whole[0][:20]}, true
	case "break off inside the body":
		text := strings.Join(whole[:min(len(whole), 2)], "")
		return []string{text[:len(text)-3]}, true
	case "break off between events":
		return whole[:max(1, len(whole)/2)], true
	case "hang":
		return []string{time.Hour.String()}, true
	default:
		return whole, false
	}
}
