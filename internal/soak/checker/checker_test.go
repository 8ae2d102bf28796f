package checker_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

var errCut = errors.New("connection was cut")

// bounds are short and without slack, so that the tests need not wait.
var bounds = checker.Bounds{
	CalmTime: time.Second, ChangeDelay: 2 * time.Second, ConfigDelay: 2 * time.Second, PeerDelay: 5 * time.Second,
	CancelDelay: 500 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 2, RetryWindow: 10 * time.Second, Timed: true,
	LimitRate: 1, LimitBurst: 1, LimitWindow: 2 * time.Second, ColdRate: 1.5,
}

func kind(path string) caller.Kind {
	for _, k := range caller.Kinds() {
		if k.Path == path {
			return k
		}
	}
	return caller.Kind{}
}

// call returns a successful call that has just ended.
func call(id, path string) caller.Call {
	now := time.Now()
	c := caller.Call{
		ID: id, Kind: kind(path), Gateway: caller.Gateway{Name: "a-1", Incarnation: 1},
		Sent: now.Add(-300 * time.Millisecond), Ended: now.Add(-100 * time.Millisecond),
		Reply: standin.Response{Status: http.StatusOK, Signed: true, Body: standin.AnswerBody(id)},
	}
	if c.Kind.Stream {
		c.Reply.Body = standin.StreamBody(id, standin.Events)
	}
	return c
}

// run returns a call as an endpoint received and ran it.
func run(c caller.Call) checker.Run {
	return checker.Run{
		Arrival: standin.Arrival{
			Request: c.ID, Workspace: c.Kind.Workspace, Method: c.Kind.Method, Target: c.Kind.Path, Body: c.Body, Ran: true,
			At: c.Sent.Add(10 * time.Millisecond), Ended: c.Ended.Add(-10 * time.Millisecond),
		},
		Endpoint: "e1", Service: c.Kind.Service,
	}
}

// interruptedAfter returns an answer that breaks off during a planned stop, a time after its request.
func interruptedAfter(took time.Duration) scenario {
	s := singleCall("/stream/x", func(c *caller.Call, _ *checker.Run) {
		c.Reply = standin.Response{Status: 200, Signed: true, Err: errCut}
	})
	s.beginFaults = func(f *timeline.Timeline) { f.Begin(timeline.Planned, "a-1", "stop") }
	s.calls[0].Ended = s.calls[0].Sent.Add(took)
	return s
}

// scenario is what one test case feeds to a checker.
type scenario struct {
	calls       []caller.Call
	runs        []checker.Run
	beginFaults func(*timeline.Timeline)
	observe     func(*checker.Checker)
}

// singleCall returns a scenario of one call that reaches one endpoint; change
// modifies both.
func singleCall(path string, change func(*caller.Call, *checker.Run)) scenario {
	c := call("r1", path)
	r := run(c)
	change(&c, &r)
	return scenario{calls: []caller.Call{c}, runs: []checker.Run{r}}
}

// manyCalls returns a scenario of simultaneous calls of one kind.
func manyCalls(path string, calls int) scenario {
	var s scenario
	for n := range calls {
		c := call(fmt.Sprint("r", n), path)
		s.calls, s.runs = append(s.calls, c), append(s.runs, run(c))
	}
	return s
}

// withNotice returns a scenario of a call whose answer carries a notice of the endpoint,
// and of later calls.
func withNotice(set func(*checker.Run), later ...time.Duration) scenario {
	s := singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { set(r) })
	for n, after := range later {
		c := call(fmt.Sprint("later", n), "/safe/x")
		c.Sent, c.Ended = c.Sent.Add(after), c.Ended.Add(after)
		s.calls, s.runs = append(s.calls, c), append(s.runs, run(c))
	}
	return s
}

func setLeaving(r *checker.Run) { r.Leaving = true }

func setBackoff(r *checker.Run) { r.Backoff, r.Ran = 3*time.Second, false }

// limited returns a scenario of an endpoint that names a limit of one request a second in
// answers to each of the instances, followed by a burst of requests.
func limited(instances, requests int) scenario {
	var s scenario
	add := func(id string, after time.Duration, instance string) {
		c := call(id, "/safe/x")
		c.Sent, c.Ended, c.Gateway.Name = c.Sent.Add(after), c.Ended.Add(after), instance
		r := run(c)
		r.Limit = "1"
		s.calls, s.runs = append(s.calls, c), append(s.runs, r)
	}
	for n := range instances {
		add(fmt.Sprint("informed", n), 0, fmt.Sprint("a-", n+1))
	}
	for n := range requests {
		add(fmt.Sprint("later", n), 9*time.Second+time.Duration(n)*time.Millisecond, fmt.Sprint("a-", n%max(instances, 1)+1))
	}
	return s
}

// during adds a fault to a scenario that lasts until its end.
func during(s scenario, scope timeline.Scope, target string) scenario {
	s.beginFaults = func(f *timeline.Timeline) { f.Begin(scope, target, "trouble") }
	return s
}

// refusedAfterRun returns a scenario of a call that its endpoint runs and answers with a failure of its own, which its
// caller gets, while faults of all kinds affect the endpoint and the instance.
func refusedAfterRun(path string, status int, signed bool) scenario {
	s := singleCall(path, func(c *caller.Call, r *checker.Run) {
		c.Reply, r.OwnStatus = standin.Response{Status: status, Signed: signed}, status
	})
	return disturbed(s)
}

// rejectedTwice returns a scenario of a stream that can't be resumed and that an endpoint rejects twice, with a number
// of runs after the first rejection, while faults of all kinds affect the endpoint and the instance.
func rejectedTwice(status, runs int) scenario {
	s := singleCall("/once/x", func(c *caller.Call, r *checker.Run) {
		r.Ran, r.Repeated = false, true
		if status != http.StatusOK {
			c.Reply = standin.Response{Status: status}
		}
	})
	for range runs {
		s.runs = append(s.runs, run(s.calls[0]))
	}
	return disturbed(s)
}

// disturbed adds faults that affect everything in a scenario until its end.
func disturbed(s scenario) scenario {
	s.beginFaults = func(f *timeline.Timeline) {
		for _, scope := range []timeline.Scope{
			timeline.Refusal, timeline.Endpoint, timeline.Silence, timeline.Kill, timeline.Frozen, timeline.Planned, timeline.Links, timeline.Peers, timeline.Store,
		} {
			f.Begin(scope, "", "trouble")
		}
	}
	return s
}

// viaOther sends all calls of a scenario but the first through another instance.
func viaOther(s scenario) scenario {
	for n := range s.calls[1:] {
		s.calls[n+1].Gateway.Name = "a-2"
	}
	return s
}

// evacuated returns a scenario of a request at an endpoint some time after its zone was
// evacuated; over revokes the evacuation.
func evacuated(after time.Duration, over bool) scenario {
	s := singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { r.At, r.Zone = time.Now().Add(after), "a" })
	s.observe = func(c *checker.Checker) {
		end := c.ZoneEvacuated("a")
		if over {
			end()
		}
	}
	return s
}

// cold returns a scenario of requests at an endpoint within a second, some time after the
// endpoint became cold.
func cold(count int, after time.Duration) scenario {
	var s scenario
	for n := range count {
		c := call(fmt.Sprint("r", n), "/safe/x")
		r := run(c)
		r.At = time.Now().Add(after + time.Duration(n)*100*time.Millisecond)
		s.calls, s.runs = append(s.calls, c), append(s.runs, r)
	}
	s.observe = func(c *checker.Checker) { c.EndpointCold("e1") }
	return s
}

// home returns a scenario of a request that must stay in the region of zone a, at an
// endpoint of the given zone.
func home(zone string) scenario {
	c := call("r1", "/safe/x")
	c.Kind = caller.HomeKind("a")
	r := run(c)
	r.Zone = zone
	return scenario{calls: []caller.Call{c}, runs: []checker.Run{r}}
}

func TestPromises(t *testing.T) {
	tests := []struct {
		name string
		want string // the promise that is violated; empty if none is
		scenario
	}{
		{"success", "", singleCall("/unsafe/x", func(*caller.Call, *checker.Run) {})},
		{"successful stream", "", singleCall("/stream/x", func(*caller.Call, *checker.Run) {})},
		{"not idempotent, runs twice", "at most once", func() scenario {
			s := singleCall("/unsafe/x", func(*caller.Call, *checker.Run) {})
			s.runs = append(s.runs, s.runs[0])
			return s
		}()},
		{"idempotent, runs twice", "", func() scenario {
			s := singleCall("/safe/x", func(*caller.Call, *checker.Run) {})
			s.runs = append(s.runs, s.runs[0])
			return s
		}()},
		{"rejected as not run, but ran", "true refusal", singleCall("/once/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply = standin.Response{Status: http.StatusServiceUnavailable}
		})},
		{"rejected as not run, but ran, of a kind that may run again", "true refusal", singleCall("/safe/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply = standin.Response{Status: http.StatusServiceUnavailable}
		})},
		{"an endpoint's own 408 passed on", "true refusal", refusedAfterRun("/unsafe/x", http.StatusRequestTimeout, false)},
		{"an endpoint's own 429 passed on, signed", "true refusal", refusedAfterRun("/once/x", http.StatusTooManyRequests, true)},
		{"an endpoint's own 503 passed on, of a resumable stream", "true refusal", refusedAfterRun("/stream/x", http.StatusServiceUnavailable, true)},
		{"rejection repeated, refused after a run", "true refusal", rejectedTwice(http.StatusServiceUnavailable, 1)},
		{"rejection repeated, run twice", "at most once", rejectedTwice(http.StatusOK, 2)},
		{"rejection repeated, run once", "", rejectedTwice(http.StatusOK, 1)},
		{"rejected and refused, never run", "", rejectedTwice(http.StatusServiceUnavailable, 0)},
		{"failed after a run, not promised", "", refusedAfterRun("/once/x", http.StatusBadGateway, false)},
		{"prompt read apart, then refused", "", singleCall("/once/x", func(c *caller.Call, r *checker.Run) {
			c.Reply, r.Prefill = standin.Response{Status: http.StatusServiceUnavailable}, true
		})},
		{"answer without an endpoint's signature", "own answer", singleCall("/safe/x", func(c *caller.Call, _ *checker.Run) { c.Reply.Signed = false })},
		{"answer to another request", "whole answer", singleCall("/safe/x", func(c *caller.Call, _ *checker.Run) { c.Reply.Body = standin.AnswerBody("r2") })},
		{"stream without its last event", "whole answer", singleCall("/stream/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply.Body = standin.StreamBody("r1", standin.Events-1)
		})},
		{"interrupted stream with a repeated event", "unmixed answer", singleCall("/stream/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply.Body, c.Reply.Err = standin.Event("r1", 1)+standin.Event("r1", 1), errCut
		})},
		{"interrupted stream without a gap, endpoint crashed", "", during(singleCall("/stream/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply.Body, c.Reply.Err = standin.Event("r1", 1)+"id: 2", errCut
			c.Ended = time.Now().Add(time.Second)
		}), timeline.Endpoint, "e1")},
		{"interrupted stream, endpoint sound", "not broken off", singleCall("/stream/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply.Body, c.Reply.Err = standin.Event("r1", 1)+"id: 2", errCut
		})},
		{"route of every configuration not found", "allowed", singleCall("/safe/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply = standin.Response{Status: http.StatusNotFound}
		})},
		{"run for another workspace", "own workspace", singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Workspace = "fern" })},
		{"caller's key passed to the endpoint", "own workspace", singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { r.HasKey = true })},
		{"workspace over its limit", "limit of a workspace", manyCalls("/unsafe/y", 4)},
		{"workspace at its limit", "", manyCalls("/unsafe/y", 3)},
		{"workspace without a limit", "", manyCalls("/safe/x", 9)},
		{"path changed", "unchanged", singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Target = "/safe/" })},
		{"run by another service", "own service", singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Service = "llm" })},
		{"request that no caller sent", "unasked", singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Request = "r9" })},
		{"work for a caller that disconnected", "caller gone", singleCall("/stream/x", func(c *caller.Call, r *checker.Run) {
			c.Disconnected, c.Reply = true, standin.Response{Err: errCut}
			c.Sent, c.Ended = c.Sent.Add(-2*time.Second), c.Ended.Add(-2*time.Second)
			r.Ended = time.Time{}
		})},
		{"no answer", "answered", singleCall("/safe/x", func(c *caller.Call, _ *checker.Run) {
			c.Sent, c.Reply = c.Ended.Add(-6*time.Second), standin.Response{Err: errCut}
		})},
		{"planned stop interrupts an answer", "planned stop", interruptedAfter(time.Second)},
		{"planned stop interrupts an answer before its deadline", "planned stop", interruptedAfter(3900 * time.Millisecond)},
		{"answer ends with its deadline in a planned stop", "", interruptedAfter(4 * time.Second)},
		{"endpoint crashes during a planned stop", "", func() scenario {
			s := singleCall("/stream/x", func(c *caller.Call, _ *checker.Run) {
				c.Reply = standin.Response{Status: 200, Signed: true, Err: errCut}
			})
			s.beginFaults = func(f *timeline.Timeline) {
				f.Begin(timeline.Planned, "a-1", "stop")
				f.Begin(timeline.Endpoint, "e1", "crash")
			}
			s.calls[0].Ended = time.Now().Add(time.Second)
			return s
		}()},
		{"process exits unexpectedly", "lives on", scenario{observe: func(c *checker.Checker) { c.ProcessExited("a-1", 1, errCut) }}},
		{"process does not stop", "planned stop", scenario{observe: func(c *checker.Checker) { c.StopOverdue("a-1", 1, time.Now()) }}},
		{"paused process does not stop", "", scenario{
			beginFaults: func(f *timeline.Timeline) { f.Begin(timeline.Process, "a-1", "pause") },
			observe:     func(c *checker.Checker) { c.StopOverdue("a-1", 1, time.Now()) },
		}},
		{"leaving endpoint gets a request", "leaving endpoint", func() scenario {
			s := singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { r.At = time.Now().Add(3 * time.Second) })
			s.observe = func(c *checker.Checker) { c.EndpointLeaving("e1") }
			return s
		}()},
		{"leaving endpoint gets a request while the store fails an instance", "", func() scenario {
			s := singleCall("/safe/x", func(_ *caller.Call, r *checker.Run) { r.At = time.Now().Add(3 * time.Second) })
			s.observe = func(c *checker.Checker) { c.EndpointLeaving("e1") }
			s.beginFaults = func(f *timeline.Timeline) { f.Begin(timeline.InstanceStore, "a-1", "busy") }
			return s
		}()},
		{"evacuated zone gets a request", "evacuated zone", evacuated(3*time.Second, false)},
		{"evacuated zone gets a request just after its evacuation", "", evacuated(time.Second, false)},
		{"zone no longer evacuated gets a request", "", evacuated(3*time.Second, true)},
		{"evacuated zone gets a request while the store is unavailable", "", during(evacuated(3*time.Second, false), timeline.Store, "")},
		{"cold endpoint gets too many requests", "cold endpoint", cold(8, 3*time.Second)},
		{"cold endpoint gets as many requests as allowed", "", cold(7, 3*time.Second)},
		{"endpoint gets many requests just after it became cold", "", cold(8, time.Second)},
		{"cold endpoint gets many requests from a paused instance", "", during(cold(8, 3*time.Second), timeline.Process, "a-1")},
		{"request stays in its region", "", home("a")},
		{"request in another region", "home region", home("b")},
		{"endpoint gets a request after its leaving notice", "announced leave", withNotice(setLeaving, 3*time.Second)},
		{"endpoint gets a request after its leaving notice, store unavailable", "announced leave", during(withNotice(setLeaving, 3*time.Second), timeline.Store, "")},
		{"endpoint gets a request just after its leaving notice", "", withNotice(setLeaving, time.Second)},
		{"request from an instance that received no leaving notice", "", viaOther(withNotice(setLeaving, 3*time.Second))},
		{"request from an instance restarted after its leaving notice", "", during(withNotice(setLeaving, 3*time.Second), timeline.Process, "a-1")},
		{"leaving notice in a cancelled answer", "", withNotice(func(r *checker.Run) { r.Leaving, r.Cancelled = true, true }, 3*time.Second)},
		{"three requests during a backoff", "rest", withNotice(setBackoff, time.Second, 2*time.Second, 2*time.Second)},
		{"three requests during a backoff, store unavailable", "rest", during(withNotice(setBackoff, time.Second, time.Second, 2*time.Second), timeline.Store, "")},
		{"two requests during a backoff, others before and after", "", withNotice(setBackoff, 100*time.Millisecond, time.Second, 2*time.Second, 4*time.Second)},
		{"requests of another instance during a backoff", "", viaOther(withNotice(setBackoff, time.Second, time.Second, 2*time.Second))},
		{"requests during a backoff, link to the endpoint faulty", "", during(withNotice(setBackoff, time.Second, time.Second, 2*time.Second), timeline.Endpoint, "e1")},
		{"endpoint gets more requests than its limit", "limit", limited(1, 12)},
		{"instances exceed an endpoint's limit only together", "limit", limited(4, 12)},
		{"endpoint gets more requests than its limit, store unavailable", "limit", during(limited(4, 12), timeline.Store, "")},
		{"endpoint gets as many requests as its limit allows", "", limited(4, 11)},
		{"requests over a limit from instances without the notice", "", func() scenario {
			s := limited(4, 12)
			for n := range s.calls {
				s.calls[n].Gateway.Name = fmt.Sprint("b-", n)
			}
			return s
		}()},
		{"requests over a limit, an instance restarted", "", during(limited(4, 12), timeline.Process, "a-1")},
		{"requests over a limit, instances partitioned", "", during(limited(4, 12), timeline.Peers, "")},
		{"configuration not in force", "configuration", func() scenario {
			c := call("r1", "/safe/x")
			c.Kind, c.Reply = caller.AddedKind(2), standin.Response{Status: http.StatusNotFound}
			c.Sent, c.Ended = time.Now().Add(3*time.Second), time.Now().Add(3*time.Second)
			return scenario{calls: []caller.Call{c}, observe: func(c *checker.Checker) { c.ConfigurationStored(2) }}
		}()},
		{"configuration reverted", "never back", func() scenario {
			newer, older := call("r1", "/safe/x"), call("r2", "/safe/x")
			newer.Kind, older.Kind = caller.AddedKind(3), caller.AddedKind(2)
			older.Sent, older.Reply = time.Now(), standin.Response{Status: http.StatusNotFound}
			r := run(newer)
			r.Target = caller.AddedKind(3).Path
			return scenario{calls: []caller.Call{newer, older}, runs: []checker.Run{r}}
		}()},
		{"first prefill rejected", "", func() scenario {
			var s scenario
			for _, id := range []string{"r1", "r2", "r3", "r4"} {
				c := call(id, "/stream/x")
				r := run(c)
				r.Prefill, r.Ran = true, false
				s.calls, s.runs = append(s.calls, c), append(s.runs, r)
			}
			return s
		}()},
		{"more retries than the budget", "retry budget", func() scenario {
			s := singleCall("/safe/x", func(*caller.Call, *checker.Run) {})
			for range 3 {
				s.runs = append(s.runs, s.runs[0])
			}
			return s
		}()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faults := &timeline.Timeline{}
			c := checker.New(bounds, faults, func() []checker.Run { return test.runs })
			if test.beginFaults != nil {
				test.beginFaults(faults)
			}
			if test.observe != nil {
				test.observe(c)
			}
			for _, call := range test.calls {
				c.RecordCall(call)
			}
			var got []string
			for _, v := range c.Check(true) {
				got = append(got, v.Promise)
			}
			if test.want == "" {
				qt.Assert(t, got, qt.HasLen, 0)
				return
			}
			qt.Assert(t, got, qt.Contains, test.want)
		})
	}
}

// Streams of one version in all calls of their caller are right; a taken-up stream that gets
// events of another version, or most of which are refused although engines serve, is not.
func TestStreamsOfVersions(t *testing.T) {
	c := qt.New(t)
	start := time.Now().Add(-time.Minute)
	ch := checker.New(checker.Bounds{CalmTime: time.Second, Timed: true}, &timeline.Timeline{}, func() []checker.Run { return nil })
	ch.Engines = func() []checker.Engine {
		return []checker.Engine{{ID: "d1", Version: "v1", From: start.Add(-time.Hour)}, {ID: "d2", Version: "v1", From: start.Add(-time.Hour)}}
	}
	stream := caller.Kind{Path: "/stream/x", Stream: true, Resumable: true}
	call := func(id, beganAs, version string, status int) caller.Call {
		k := caller.Call{ID: id, Kind: stream, Sent: start, Ended: start.Add(time.Second), BeganAs: beganAs, Versions: []string{version}}
		k.Reply.Status = status
		if status == 200 {
			k.Reply.Body = standin.StreamBody(id, 2)
		}
		return k
	}
	record := func(calls ...caller.Call) {
		for _, k := range calls {
			ch.RecordCall(k)
		}
	}
	broken := func() (promises []string) {
		for _, v := range ch.Check(false) {
			if v.Promise == "one version" || v.Promise == "streams go on" {
				promises = append(promises, v.Promise)
			}
		}
		slices.Sort(promises)
		return promises
	}
	record(call("a", "", "v1", 200), call("a2", "a", "v1", 200))
	c.Assert(broken(), qt.HasLen, 0)
	record(call("b", "", "v1", 200), call("b2", "b", "v2", 200))
	c.Assert(broken(), qt.DeepEquals, []string{"one version"})
	for n := range 12 {
		record(call(fmt.Sprint("c", n), "", "v1", 200), call(fmt.Sprint("c2-", n), fmt.Sprint("c", n), "v1", 503))
	}
	c.Assert(broken(), qt.DeepEquals, []string{"one version", "streams go on"})
}
