package gateway_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/gateway"
	"github.com/trailshed/trailshed/platform/standin"
)

// hold makes the endpoint keep all answers back until the test ends.
func (n *instance) hold(t *testing.T) {
	t.Helper()
	gate := make(chan struct{})
	t.Cleanup(func() { close(gate) })
	n.endpoint.SetBehaviour(standin.Behaviour{Gate: gate})
}

// begin sends a request and waits until the endpoint has it.
func (k *kept) begin() {
	k.t.Helper()
	text, _ := k.message()
	qt.Assert(k.t, k.write(text), qt.IsNil)
	eventually(k.t, "the endpoint has the request", func() bool { return k.n.passedOn(k.id) })
}

// answerText reads an answer and returns its body, too.
func (k *kept) answerText() (status int, keep bool, body string, err error) {
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, false, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, !resp.Close, string(text), err
}

// addEngine adds an engine, and waits until the instance knows it.
func (n *instance) addEngine(t *testing.T, b standin.Behaviour) *standin.Endpoint {
	t.Helper()
	e := standin.NewEndpoint("d1", "llm", "a", "decode")
	t.Cleanup(e.Close)
	e.SetBehaviour(b)
	e.Register(n.store, "ready")
	eventually(t, "the engine is known", func() bool { return strings.Contains(n.log.String(), `"endpoint":"d1"`) })
	return e
}

// Requests that were in progress when the process ended got no answer, and the log said that their callers had left.
func TestRequestsInProgressAreAnsweredAtExit(t *testing.T) {
	const grace = 1200 * time.Millisecond
	tests := []struct {
		name string
		end  func(n *instance)
	}{
		{"planned stop", func(n *instance) { n.beginStop() }},
		{"planned stop, the grace period is shortened meanwhile", func(n *instance) {
			set, err := gateway.ParseSettings("n1", []byte(strings.ReplaceAll(n.settings, "grace: 1.2s", "grace: 1s")))
			qt.Check(t, err, qt.IsNil)
			n.beginStop()
			n.Reload(set)
		}},
		{"a listener fails", func(n *instance) { n.FailListener() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel() // mostly waits
			c := qt.New(t)
			n := startInstance(t, grace, nil)
			n.hold(t)
			var callers []*kept
			for range 5 {
				callers = append(callers, n.dial(t))
				callers[len(callers)-1].begin()
			}
			test.end(n)
			for _, k := range callers {
				status, keep, body, err := k.answerText()
				c.Check(err, qt.IsNil)
				c.Check(status, qt.Equals, http.StatusBadGateway)
				c.Check(body, qt.Contains, "may have run")
				c.Check(keep, qt.IsFalse)
			}
			<-n.done
			s := n.log.String()
			c.Check(strings.Contains(s, "caller_left"), qt.IsFalse)
			c.Check(strings.Count(s, `"event":"gave_up"`), qt.Equals, len(callers))
			c.Check(strings.Count(s, `"reason":"stopping"`), qt.Equals, len(callers))
		})
	}
}

// A request that waited for a place when the process ended got no answer, though it had certainly not run.
func TestRequestsThatWaitAreRefusedAtExit(t *testing.T) {
	const slots = 8 // of an engine
	c := qt.New(t)
	n := startInstance(t, 1200*time.Millisecond, nil)
	gate := make(chan struct{})
	t.Cleanup(func() { close(gate) })
	n.addEngine(t, standin.Behaviour{EventGate: gate})
	var streams []*http.Response
	for range slots {
		k := n.dial(t)
		c.Assert(k.write(k.text("/stream/1")), qt.IsNil)
		resp, err := http.ReadResponse(k.reader, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		defer func() { _ = resp.Body.Close() }()
		streams = append(streams, resp)
	}
	waiting := n.dial(t)
	c.Assert(waiting.write(waiting.text("/stream/2")), qt.IsNil)
	n.beginStop()
	status, _, body, err := waiting.answerText()
	c.Check(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Contains, "not run")
	// A stream that has begun ends in a way that does not look whole, so that its caller takes it up elsewhere.
	for _, s := range streams {
		_, err = io.ReadAll(s.Body)
		c.Check(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
	}
	<-n.done
	s := n.log.String()
	c.Check(strings.Contains(s, "caller_left"), qt.IsFalse)
	c.Check(strings.Count(s, `"event":"broken"`), qt.Equals, slots)
}

// A request was taken shortly before the exit, on a connection whose answer had begun before the planned stop,
// and was given up.
func TestRequestsShortlyBeforeExitAreRefused(t *testing.T) {
	const grace = 2 * time.Second
	c := qt.New(t)
	n := startInstance(t, grace, nil)
	n.addEngine(t, standin.Behaviour{EventInterval: grace / 8}) // the stream takes five of them
	n.endpoint.SetBehaviour(standin.Behaviour{Delay: grace})
	k := n.dial(t)
	c.Assert(k.write(k.text("/stream/1")), qt.IsNil)
	resp, err := http.ReadResponse(k.reader, nil)
	c.Assert(err, qt.IsNil)
	n.beginStop()
	text, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, "id: 6")
	request, _ := k.message()
	c.Assert(k.write(request), qt.IsNil)
	status, keep, body, err := k.answerText()
	c.Check(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Contains, "not run")
	c.Check(keep, qt.IsFalse)
	c.Check(n.passedOn(k.id), qt.IsFalse)
	<-n.done
}

// Nothing told what had come of the requests of a planned stop: which had been answered, and which were refused or given up.
func TestStoppedLineTellsOutcomes(t *testing.T) {
	const grace = 2 * time.Second
	c := qt.New(t)
	n := startInstance(t, grace, nil)
	n.learnTimes(t)
	n.addEngine(t, standin.Behaviour{EventInterval: grace / 4}) // the stream takes longer than the grace period
	stream := n.dial(t)
	c.Assert(stream.write(stream.text("/stream/1")), qt.IsNil)
	broken, err := http.ReadResponse(stream.reader, nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = broken.Body.Close() }()
	n.hold(t)
	waiting, later, leaving, late := n.dial(t), n.dial(t), n.dial(t), n.dial(t)
	waiting.begin()
	n.beginStop()
	eventually(t, "the stop has begun", func() bool { return strings.Contains(n.log.String(), `"event":"stopping"`) })
	later.begin()
	leaving.begin()
	c.Assert(leaving.conn.Close(), qt.IsNil)
	time.Sleep(grace * 2 / 5) // until no new connections are expected
	c.Assert(late.write(late.text("/stream/2")), qt.IsNil)
	status, _, _, err := late.answerText()
	c.Check(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	for _, k := range []*kept{waiting, later} {
		status, _, _, err = k.answerText()
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusBadGateway)
	}
	<-n.done
	eventually(t, "the line stopped is written", func() bool { return strings.Contains(n.log.String(), `"event":"stopped"`) })
	c.Check(n.log.String(), qt.Contains, `"detail":"before: gave_up 1, broken 1; after: taken 2, refused 1, gave_up 1, cancelled 1"`)
	for _, count := range []string{`requests_at_stop{arrived="after",outcome="cancelled"} 1`, `answers_cut{reason="stopped"} 1`, `requests_unanswered{reason="caller_left"} 1`} {
		eventually(t, count, func() bool { return strings.Contains(n.metrics(), count) })
	}
}

// The log said that a caller had left where the instance had given up, and the other way round; or that an endpoint
// had cut a long answer that its caller did not read.
func TestLogNamesWhoEndedARequest(t *testing.T) {
	const long, event = 4 << 20, 40_000 // bytes; more than all buffers hold, and of an event of a stream
	tests := []struct {
		name    string
		padding int // of the answer
		path    string
		end     func(k *kept) // after the request was sent
		reason  string
		counted string
	}{
		{"the caller leaves", 0, "/unsafe/1", func(k *kept) {
			eventually(k.t, "the endpoint has the request", func() bool { return k.n.passedOn(k.id) })
			qt.Check(k.t, k.conn.Close(), qt.IsNil)
		}, "caller_left", `requests_unanswered{reason="caller_left"} 1`},
		{"the caller leaves inside a long answer", long, "/unsafe/1", func(k *kept) {
			_, err := k.reader.ReadByte()
			qt.Check(k.t, err, qt.IsNil)
			qt.Check(k.t, k.conn.Close(), qt.IsNil)
		}, "caller_left", `answers_cut{reason="caller_left"} 1`},
		{"the caller does not read a long answer", long, "/unsafe/1", func(*kept) {}, "caller_stalled", `answers_cut{reason="caller_stalled"} 1`},
		{"the caller does not read an answer that is held in memory", 250_000, "/unsafe/1", func(*kept) {}, "caller_stalled", `answers_cut{reason="caller_stalled"} 1`},
		{"the caller does not read a stream", long, "/stream/1", func(*kept) {}, "caller_stalled", `answers_cut{reason="caller_stalled"} 1`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel() // mostly waits
			c := qt.New(t)
			n := startInstance(t, 300*time.Millisecond, nil)
			if test.padding == 0 {
				n.hold(t)
			}
			n.endpoint.Padding = test.padding
			engine := n.addEngine(t, standin.Behaviour{})
			engine.Events, engine.Padding = long/event, event
			k := n.dial(t)
			c.Assert(k.conn.(*net.TCPConn).SetReadBuffer(event), qt.IsNil) // smaller than the answers
			c.Assert(k.write(k.text(test.path)), qt.IsNil)
			test.end(k)
			eventually(t, "the end is logged", func() bool { return strings.Contains(n.log.String(), `"event":"cancelled"`) })
			c.Check(n.log.String(), qt.Contains, `"reason":"`+test.reason+`"`)
			c.Check(strings.Contains(n.log.String(), `"event":"endpoint_failed"`), qt.IsFalse)
			eventually(t, test.counted, func() bool { return strings.Contains(n.metrics(), test.counted) })
		})
	}
}

// A request whose body was being read at the end of a planned stop, or did not come in time, got no answer, though the
// log said that it was refused: net/http takes a read that fails by its deadline for a caller that left.
func TestRequestsWithUnfinishedBodiesAreAnswered(t *testing.T) {
	tests := []struct {
		name string
		wait string // of the caller, in ms
		end  func(n *instance)
		want int
	}{
		{"at the exit", "4000", func(n *instance) { n.beginStop() }, http.StatusServiceUnavailable},
		{"at the deadline", "300", func(*instance) {}, http.StatusRequestTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := startInstance(t, 1200*time.Millisecond, nil)
			k := n.dial(t)
			text, _ := k.message()
			text = strings.Replace(text, "4000", test.wait, 1)
			c.Assert(k.write(text[:len(text)-2]), qt.IsNil)
			time.Sleep(pause)
			test.end(n)
			status, _, _, err := k.answerText()
			c.Check(err, qt.IsNil)
			c.Check(status, qt.Equals, test.want)
		})
	}
}

// Requests were ended before the last sixth of the grace period, until which operators count on their being served.
func TestRequestsAreServedUntilTheLastSixth(t *testing.T) {
	const grace = 2 * time.Second
	c := qt.New(t)
	n := startInstance(t, grace, nil)
	n.hold(t)
	var callers []*kept
	for range 10 {
		callers = append(callers, n.dial(t))
		callers[len(callers)-1].begin()
	}
	began := time.Now()
	n.beginStop()
	status, _, _, err := callers[0].answerText()
	took := time.Since(began)
	c.Check(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusBadGateway)
	c.Check(took >= grace*5/6, qt.IsTrue, qt.Commentf("%v", took))
	<-n.done
}
