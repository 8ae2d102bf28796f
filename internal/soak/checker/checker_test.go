package checker_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

var errCut = errors.New("connection was cut")

// bounds are short and without slack, so that tests need not wait.
var bounds = checker.Bounds{
	Contact: time.Second, Drain: 2 * time.Second, Config: 2 * time.Second, Outer: 5 * time.Second,
	Gone: 500 * time.Millisecond, Ratio: 0.2, Extra: 2, Window: 10 * time.Second, Timed: true,
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

// call is a good call that ended a moment ago.
func call(id, path string) caller.Call {
	now := time.Now()
	c := caller.Call{
		ID: id, Kind: kind(path), Gateway: caller.Gateway{Name: "a-1", Life: 1},
		Sent: now.Add(-300 * time.Millisecond), Ended: now.Add(-100 * time.Millisecond),
		Reply: standin.Reply{Status: http.StatusOK, Signed: true, Body: standin.Whole(id)},
	}
	if c.Kind.Stream {
		c.Reply.Body = standin.Stream(id, standin.Events)
	}
	return c
}

// run is what an endpoint saw of a call.
func run(c caller.Call) checker.Run {
	return checker.Run{
		Arrival: standin.Arrival{
			Request: c.ID, Workspace: c.Kind.Workspace, Method: c.Kind.Method, Target: c.Kind.Path, Body: c.Body, Ran: true,
			At: c.Sent.Add(10 * time.Millisecond), Ended: c.Ended.Add(-10 * time.Millisecond),
		},
		Endpoint: "e1", Service: c.Kind.Service,
	}
}

// scene is what one case feeds to a checker.
type scene struct {
	calls []caller.Call
	runs  []checker.Run
	begin func(*timeline.Timeline)
	tell  func(*checker.Checker)
}

// one is a scene of one call, seen by one endpoint, both as change makes them.
func one(path string, change func(*caller.Call, *checker.Run)) scene {
	c := call("r1", path)
	r := run(c)
	change(&c, &r)
	return scene{calls: []caller.Call{c}, runs: []checker.Run{r}}
}

// many is a scene of so many calls of a kind at once.
func many(path string, calls int) scene {
	var s scene
	for n := range calls {
		c := call(fmt.Sprint("r", n), path)
		s.calls, s.runs = append(s.calls, c), append(s.runs, run(c))
	}
	return s
}

// words is a scene of a call whose endpoint's answer says something, and of calls that
// come so much later.
func words(say func(*checker.Run), later ...time.Duration) scene {
	s := one("/safe/x", func(_ *caller.Call, r *checker.Run) { say(r) })
	for n, after := range later {
		c := call(fmt.Sprint("later", n), "/safe/x")
		c.Sent, c.Ended = c.Sent.Add(after), c.Ended.Add(after)
		s.calls, s.runs = append(s.calls, c), append(s.runs, run(c))
	}
	return s
}

func leaves(r *checker.Run) { r.Leaving = true }

func rests(r *checker.Run) { r.Rest, r.Ran = 3*time.Second, false }

// limited is a scene of an endpoint that names a limit of one request a second in answers
// through so many instances, and then of so many requests in a moment.
func limited(instances, requests int) scene {
	var s scene
	add := func(id string, after time.Duration, instance string) {
		c := call(id, "/safe/x")
		c.Sent, c.Ended, c.Gateway.Name = c.Sent.Add(after), c.Ended.Add(after), instance
		r := run(c)
		r.Limit = "1"
		s.calls, s.runs = append(s.calls, c), append(s.runs, r)
	}
	for n := range instances {
		add(fmt.Sprint("told", n), 0, fmt.Sprint("a-", n+1))
	}
	for n := range requests {
		add(fmt.Sprint("later", n), 9*time.Second+time.Duration(n)*time.Millisecond, fmt.Sprint("a-", n%max(instances, 1)+1))
	}
	return s
}

// during adds a fault that lasts to a scene.
func during(s scene, scope timeline.Scope, target string) scene {
	s.begin = func(f *timeline.Timeline) { f.Begin(scope, target, "trouble") }
	return s
}

// elsewhere has all but the first call of a scene go through another instance.
func elsewhere(s scene) scene {
	for n := range s.calls[1:] {
		s.calls[n+1].Gateway.Name = "a-2"
	}
	return s
}

// evacuated is a request at an endpoint some time after its zone was evacuated.
func evacuated(after time.Duration, over bool) scene {
	s := one("/safe/x", func(_ *caller.Call, r *checker.Run) { r.At, r.Zone = time.Now().Add(after), "a" })
	s.tell = func(c *checker.Checker) {
		end := c.Evacuated("a")
		if over {
			end()
		}
	}
	return s
}

// chilled is requests at an endpoint within a second, some time after it turned cold.
func chilled(count int, after time.Duration) scene {
	var s scene
	for n := range count {
		c := call(fmt.Sprint("r", n), "/safe/x")
		r := run(c)
		r.At = time.Now().Add(after + time.Duration(n)*100*time.Millisecond)
		s.calls, s.runs = append(s.calls, c), append(s.runs, r)
	}
	s.tell = func(c *checker.Checker) { c.Cold("e1") }
	return s
}

// home is a request of zone a's region at an endpoint of a zone.
func home(zone string) scene {
	c := call("r1", "/safe/x")
	c.Kind = caller.Home("a")
	r := run(c)
	r.Zone = zone
	return scene{calls: []caller.Call{c}, runs: []checker.Run{r}}
}

func TestPromises(t *testing.T) {
	tests := []struct {
		name string
		want string // the promise that is reported; empty: none
		scene
	}{
		{"all is well", "", one("/unsafe/x", func(*caller.Call, *checker.Run) {})},
		{"a stream is well", "", one("/stream/x", func(*caller.Call, *checker.Run) {})},
		{"runs twice", "at most once", func() scene {
			s := one("/unsafe/x", func(*caller.Call, *checker.Run) {})
			s.runs = append(s.runs, s.runs[0])
			return s
		}()},
		{"may run twice", "", func() scene {
			s := one("/safe/x", func(*caller.Call, *checker.Run) {})
			s.runs = append(s.runs, s.runs[0])
			return s
		}()},
		{"refused though it ran", "true refusal", one("/once/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply = standin.Reply{Status: http.StatusServiceUnavailable}
		})},
		{"an answer of its own", "own answer", one("/safe/x", func(c *caller.Call, _ *checker.Run) { c.Reply.Signed = false })},
		{"another's answer", "whole answer", one("/safe/x", func(c *caller.Call, _ *checker.Run) { c.Reply.Body = standin.Whole("r2") })},
		{"a stream lacks an event", "whole answer", one("/stream/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply.Body = standin.Stream("r1", standin.Events-1)
		})},
		{"a broken stream has an event twice", "unmixed answer", one("/stream/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply.Body, c.Reply.Err = standin.Event("r1", 1)+standin.Event("r1", 1), errCut
		})},
		{"a broken stream is a part", "", one("/stream/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply.Body, c.Reply.Err = standin.Event("r1", 1)+"id: 2", errCut
		})},
		{"what all allow is not found", "allowed", one("/safe/x", func(c *caller.Call, _ *checker.Run) {
			c.Reply = standin.Reply{Status: http.StatusNotFound}
		})},
		{"in another workspace's name", "own workspace", one("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Workspace = "fern" })},
		{"with its key", "own workspace", one("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Key = true })},
		{"over its limit", "limit of a workspace", many("/unsafe/y", 4)},
		{"at its limit", "", many("/unsafe/y", 3)},
		{"another without a limit", "", many("/safe/x", 9)},
		{"another path arrives", "unchanged", one("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Target = "/safe/" })},
		{"another service runs it", "own service", one("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Service = "llm" })},
		{"nobody sent it", "unasked", one("/safe/x", func(_ *caller.Call, r *checker.Run) { r.Request = "r9" })},
		{"work for a caller that left", "caller gone", one("/stream/x", func(c *caller.Call, r *checker.Run) {
			c.Left, c.Reply = true, standin.Reply{Err: errCut}
			c.Sent, c.Ended = c.Sent.Add(-2*time.Second), c.Ended.Add(-2*time.Second)
			r.Ended = time.Time{}
		})},
		{"no answer at all", "answered", one("/safe/x", func(c *caller.Call, _ *checker.Run) {
			c.Sent, c.Reply = c.Ended.Add(-6*time.Second), standin.Reply{Err: errCut}
		})},
		{"a planned stop cuts", "planned stop", func() scene {
			s := one("/stream/x", func(c *caller.Call, _ *checker.Run) { c.Reply = standin.Reply{Status: 200, Signed: true, Err: errCut} })
			s.begin = func(f *timeline.Timeline) { f.Begin(timeline.Planned, "a-1", "stop") }
			s.calls[0].Ended = time.Now().Add(time.Second)
			return s
		}()},
		{"an endpoint that fails is no fault of a stop", "", func() scene {
			s := one("/stream/x", func(c *caller.Call, _ *checker.Run) { c.Reply = standin.Reply{Status: 200, Signed: true, Err: errCut} })
			s.begin = func(f *timeline.Timeline) {
				f.Begin(timeline.Planned, "a-1", "stop")
				f.Begin(timeline.Endpoint, "e1", "crash")
			}
			s.calls[0].Ended = time.Now().Add(time.Second)
			return s
		}()},
		{"a process ends by itself", "lives on", scene{tell: func(c *checker.Checker) { c.Ended("a-1", 1, errCut) }}},
		{"a stop has no end", "planned stop", scene{tell: func(c *checker.Checker) { c.Outlived("a-1", 1, time.Now()) }}},
		{"a paused stop has none yet", "", scene{
			begin: func(f *timeline.Timeline) { f.Begin(timeline.Process, "a-1", "pause") },
			tell:  func(c *checker.Checker) { c.Outlived("a-1", 1, time.Now()) },
		}},
		{"a leaving endpoint gets work", "leaving endpoint", func() scene {
			s := one("/safe/x", func(_ *caller.Call, r *checker.Run) { r.At = time.Now().Add(3 * time.Second) })
			s.tell = func(c *checker.Checker) { c.Leaves("e1") }
			return s
		}()},
		{"a leaving endpoint gets work while the store refuses some", "", func() scene {
			s := one("/safe/x", func(_ *caller.Call, r *checker.Run) { r.At = time.Now().Add(3 * time.Second) })
			s.tell = func(c *checker.Checker) { c.Leaves("e1") }
			s.begin = func(f *timeline.Timeline) { f.Begin(timeline.Door, "a-1", "busy") }
			return s
		}()},
		{"an endpoint of an evacuated zone gets work", "evacuated zone", evacuated(3*time.Second, false)},
		{"it gets work for a moment", "", evacuated(time.Second, false)},
		{"it is used again", "", evacuated(3*time.Second, true)},
		{"the store has been away since", "", during(evacuated(3*time.Second, false), timeline.Store, "")},
		{"a cold endpoint gets more than it takes", "cold endpoint", chilled(8, 3*time.Second)},
		{"it gets what is allowed", "", chilled(7, 3*time.Second)},
		{"just after it turned cold", "", chilled(8, time.Second)},
		{"from one that was paused since", "", during(chilled(8, 3*time.Second), timeline.Process, "a-1")},
		{"a request stays at home", "", home("a")},
		{"another region sees one", "home region", home("b")},
		{"an endpoint whose answer says that it leaves gets work", "announced leave", words(leaves, 3*time.Second)},
		{"the same while the store is away", "announced leave", during(words(leaves, 3*time.Second), timeline.Store, "")},
		{"it gets work for a moment", "", words(leaves, time.Second)},
		{"from an instance that was not told", "", elsewhere(words(leaves, 3*time.Second))},
		{"from one that has started anew", "", during(words(leaves, 3*time.Second), timeline.Process, "a-1")},
		{"the answer did not arrive", "", words(func(r *checker.Run) { r.Leaving, r.Cancelled = true, true }, 3*time.Second)},
		{"an endpoint that wants none gets three", "rest", words(rests, time.Second, 2*time.Second, 2*time.Second)},
		{"the same while the store is away", "rest", during(words(rests, time.Second, time.Second, 2*time.Second), timeline.Store, "")},
		{"it gets two, and others before and after", "", words(rests, 100*time.Millisecond, time.Second, 2*time.Second, 4*time.Second)},
		{"from others", "", elsewhere(words(rests, time.Second, time.Second, 2*time.Second))},
		{"the way to it is bad", "", during(words(rests, time.Second, time.Second, 2*time.Second), timeline.Endpoint, "e1")},
		{"an endpoint that takes one a second gets more", "limit", limited(1, 12)},
		{"from several, none of which alone sends so many", "limit", limited(4, 12)},
		{"while the store is away", "limit", during(limited(4, 12), timeline.Store, "")},
		{"it gets what is allowed", "", limited(4, 11)},
		{"from instances that it has not told", "", func() scene {
			s := limited(4, 12)
			for n := range s.calls {
				s.calls[n].Gateway.Name = fmt.Sprint("b-", n)
			}
			return s
		}()},
		{"one of them has started anew", "", during(limited(4, 12), timeline.Process, "a-1")},
		{"they were cut off from each other", "", during(limited(4, 12), timeline.Peers, "")},
		{"a version is not in force", "configuration", func() scene {
			c := call("r1", "/safe/x")
			c.Kind, c.Reply = caller.Added(2), standin.Reply{Status: http.StatusNotFound}
			c.Sent, c.Ended = time.Now().Add(3*time.Second), time.Now().Add(3*time.Second)
			return scene{calls: []caller.Call{c}, tell: func(c *checker.Checker) { c.Configured(2) }}
		}()},
		{"a version goes back", "never back", func() scene {
			knew, forgot := call("r1", "/safe/x"), call("r2", "/safe/x")
			knew.Kind, forgot.Kind = caller.Added(3), caller.Added(2)
			forgot.Sent, forgot.Reply = time.Now(), standin.Reply{Status: http.StatusNotFound}
			r := run(knew)
			r.Target = caller.Added(3).Path
			return scene{calls: []caller.Call{knew, forgot}, runs: []checker.Run{r}}
		}()},
		{"prefills that were turned away first", "", func() scene {
			var s scene
			for _, id := range []string{"r1", "r2", "r3", "r4"} {
				c := call(id, "/stream/x")
				r := run(c)
				r.Prefill, r.Ran = true, false
				s.calls, s.runs = append(s.calls, c), append(s.runs, r)
			}
			return s
		}()},
		{"more extra sends than the budget", "retry budget", func() scene {
			s := one("/safe/x", func(*caller.Call, *checker.Run) {})
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
			if test.begin != nil {
				test.begin(faults)
			}
			if test.tell != nil {
				test.tell(c)
			}
			for _, call := range test.calls {
				c.Called(call)
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
