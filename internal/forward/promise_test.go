package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/sharegate"
	"github.com/trailshed/trailshed/internal/streams"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// promisePlay is a request, or a few one after another, with all that happens to it.
type promisePlay struct {
	kind      route.Kind
	resumable bool
	engines   bool
	prefill   bool // prompts are read at engines of their own
	endpoints int  // that run requests
	attempts  int
	target    time.Duration
	gap       time.Duration
	timeout   time.Duration
	requests  int
	pause     time.Duration   // between two requests
	stop      time.Duration   // when the instance ends all; 0: never
	leave     time.Duration   // after which callers leave; 0: they do not
	excess    bool            // their workspace asks for more than its share of a plain service, whose endpoints have queues
	peer      bool            // a peer carries the connections
	refusals  []bool          // of places
	waits     []time.Duration // for places and for permits
	acts      []scriptedAct
	dials     []scriptedDial
}

var actKinds = []string{
	"serve", "reject", "reject", "reject the KV cache", "reject the KV cache", "reject twice", "reject and close", "misdirected", "status", "status",
	"status, then reject", "interim", "another's rejection", "no id", "break off before", "break off inside the head", "break off inside the body",
	"break off between events", "hang",
}

func drawPromisePlay(t *rapid.T) promisePlay {
	times := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 30 * time.Millisecond, 120 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second})
	positive := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 150 * time.Millisecond, time.Second, 4 * time.Second})
	rarely := rapid.SampledFrom([]bool{false, false, false, false, true})
	p := promisePlay{
		kind:      rapid.SampledFrom([]route.Kind{route.NonIdempotent, route.Idempotent, route.Streaming, route.Streaming}).Draw(t, "kind"),
		resumable: rapid.Bool().Draw(t, "resumable"),
		engines:   rapid.Bool().Draw(t, "engines"),
		prefill:   rapid.Bool().Draw(t, "prefill"),
		endpoints: rapid.SampledFrom([]int{1, 2, 2, 3}).Draw(t, "endpoints"),
		attempts:  rapid.IntRange(1, 3).Draw(t, "attempts"),
		target:    positive.Draw(t, "target"),
		gap:       positive.Draw(t, "gap"),
		timeout:   rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second}).Draw(t, "timeout"),
		requests:  rapid.IntRange(1, 3).Draw(t, "requests"),
		pause:     positive.Draw(t, "pause"),
		refusals:  rapid.SliceOfN(rarely, 0, 8).Draw(t, "refusals"),
	}
	kinds := rapid.SampledFrom([][]string{actKinds, actKinds, {"reject the KV cache"}, {"reject the KV cache", "serve", "hang"}}).Draw(t, "kinds of acts")
	silent := rapid.SampledFrom([]bool{false, false, true}).Draw(t, "silent endpoints") // so that there are attempts beside others
	if silent {
		p.kind, p.resumable, p.endpoints, p.timeout = rapid.SampledFrom([]route.Kind{route.Idempotent, route.Streaming}).Draw(t, "repeatable kind"), true, 3, 20*time.Second
		p.engines, p.attempts = rapid.Bool().Draw(t, "engines of streams"), rapid.IntRange(2, 3).Draw(t, "attempts of the repeatable")
		kinds = []string{"hang", "reject", "serve", "break off before"}
		times = rapid.SampledFrom([]time.Duration{0, 700 * time.Millisecond, 2 * time.Second, 3 * time.Second})
	}
	p.engines = p.engines && p.kind == route.Streaming
	p.waits = rapid.SliceOfN(times, 0, 8).Draw(t, "waits for places")
	often := rapid.Bool()
	if rarely.Draw(t, "stops") || silent && often.Draw(t, "stops beside others") {
		p.stop = positive.Draw(t, "stop")
	}
	p.excess, p.peer = rarely.Draw(t, "excess"), rarely.Draw(t, "through a peer")
	if rarely.Draw(t, "callers leave") {
		p.leave = positive.Draw(t, "leave")
	}
	for range rapid.IntRange(0, 10).Draw(t, "acts") {
		a := scriptedAct{
			kind: rapid.SampledFrom(kinds).Draw(t, "act"), delay: times.Draw(t, "delay"), interval: times.Draw(t, "interval"),
			status: rapid.SampledFrom([]int{408, 429, 503, 404, 500, 504}).Draw(t, "status"), signed: rapid.Bool().Draw(t, "signed"),
		}
		if rapid.Bool().Draw(t, "repeats") {
			a.repeat = positive.Draw(t, "repeat")
		}
		p.acts = append(p.acts, a)
	}
	if silent && len(p.acts) > 0 {
		p.acts[0].kind = "hang"
	}
	for range rapid.IntRange(0, 6).Draw(t, "dials") {
		d := scriptedDial{}
		if rarely.Draw(t, "bad dial") || silent && often.Draw(t, "bad dial beside others") {
			d = scriptedDial{rapid.SampledFrom([]string{"", "refused", "unwritten", "half written", "written"}).Draw(t, "dial"), times.Draw(t, "wait")}
		}
		p.dials = append(p.dials, d)
	}
	return p
}

// repeatable reports whether requests may run more than once.
func (p promisePlay) repeatable() bool {
	return p.kind == route.Idempotent || p.kind == route.Streaming && p.resumable
}

func (p promisePlay) path() string {
	if p.kind == route.Streaming {
		return "/stream"
	}
	return "/plain"
}

// scriptedCodec is the encoding of messages between an instance and scripted endpoints.
func scriptedCodec(prompt int) Codec {
	return Codec{
		DecodeRequest: func(r *http.Request) (Call, error) {
			return Call{ID: r.Header.Get(scriptedID), PromptTokens: prompt, MaxOutputTokens: 10}, nil
		},
		EncodeHeader: func(c Call, s Send) http.Header {
			h := http.Header{scriptedID: {c.ID}}
			if s.LastEventID != "" {
				h.Set(scriptedLast, s.LastEventID)
			}
			if s.Stage == directory.Prefill {
				h.Set(scriptedStage, "prefill")
			}
			if s.KVHandle != nil {
				h.Set(scriptedHandle, s.KVHandle.ID)
			}
			return h
		},
		ReadHead: func(r *http.Response) ResponseHead {
			misdirected := r.StatusCode == http.StatusMisdirectedRequest
			return ResponseHead{
				RequestID: r.Header.Get(scriptedID), Signed: r.Header.Get(scriptedSigned) != "", NotRun: r.Header.Get(scriptedNotRun) != "" || misdirected,
				Misdirected: misdirected, Streamed: strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream"),
			}
		},
		ReadHandle:   func(body []byte) (string, error) { return string(body), nil },
		FreeRequest:  func(KVHandle) (string, string) { return http.MethodDelete, "/handle" },
		CallerHeader: func(h http.Header) http.Header { return h.Clone() },
	}
}

// promiseOutcome is how a request ended for its caller.
type promiseOutcome struct {
	id      string
	status  int
	signed  bool
	body    string
	aborted bool
	left    bool      // the caller left first
	at      time.Time // when its caller was answered
	sending bool      // a send of it began or was in progress then, by the log
}

// run plays and returns how the requests ended, what the endpoints did, and the log.
func (p promisePlay) run(t *testing.T) ([]promiseOutcome, *scriptedEndpoints, string) {
	var out bytes.Buffer
	log := eventlog.Open(&out, "n1")
	s := newScriptedEndpoints(p.acts, p.dials)
	scope := tally.NewTestScope("", nil)
	f, pool := p.forwarder(t, s, log, scope)
	if p.stop > 0 {
		stop := time.AfterFunc(p.stop, func() {
			f.Drain(f.Now(), f.Now())
			f.EndAll()
		})
		defer stop.Stop()
	}
	var outcomes []promiseOutcome
	for n := range p.requests {
		outcomes = append(outcomes, p.send(f, "r"+strconv.Itoa(n+1)))
		time.Sleep(p.pause)
	}
	time.Sleep(time.Minute) // until everything has ended that was still on its way
	pool.Close()
	s.close()
	qt.Check(t, log.Close(), qt.IsNil)
	for i, o := range outcomes {
		outcomes[i].sending = sendingAtEnd(out.String(), o)
	}
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "promises_withheld" {
			s.withheld = c.Value()
		}
	}
	return outcomes, s, out.String()
}

// sendingAtEnd reports whether a send of a request began when its caller was answered, or was open then.
func sendingAtEnd(log string, o promiseOutcome) bool {
	at := fmt.Sprintf(`"time":%d,`, o.at.UnixMilli())
	return slices.ContainsFunc(strings.Split(log, "\n"), func(line string) bool {
		began := strings.Contains(line, `"event":"sent"`) && strings.Contains(line, at)
		open := strings.Contains(line, `"event":"gave_up"`) && strings.Contains(line, " open")
		return strings.Contains(line, `"request":"`+o.id+`"`) && (began || open)
	})
}

func (p promisePlay) send(f *Forwarder, id string) (o promiseOutcome) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p.leave > 0 {
		defer time.AfterFunc(p.leave, cancel).Stop()
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, p.path(), strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set(scriptedID, id)
	o.id = id
	defer func() {
		v := recover()
		if err, _ := v.(error); v != nil && !errors.Is(err, http.ErrAbortHandler) {
			panic(v)
		}
		o.status, o.body, o.signed = w.Code, w.Body.String(), w.Header().Get(scriptedSigned) != ""
		o.aborted, o.left, o.at = v != nil, ctx.Err() != nil, time.Now()
	}()
	f.ServeHTTP(w, r)
	return o
}

// check returns what is wrong with how a request ended, or nil.
func (p promisePlay) check(o promiseOutcome, s *scriptedEndpoints) error {
	runs, served := s.runs[o.id], o.status == http.StatusOK && !o.aborted && !o.left
	whole := scriptedBody(o.id)
	if p.kind == route.Streaming {
		whole = ""
		for n := range scriptedEvents {
			whole += scriptedEvent(o.id, n+1)
		}
	}
	switch {
	case s.withheld > 0:
		return fmt.Errorf("%d promises were withheld at the last moment", s.withheld)
	case runs > 0 && attempts.PromisesNotRun(o.status):
		return fmt.Errorf("%s: status %d after %d runs", o.id, o.status, runs)
	case o.status >= http.StatusInternalServerError && !o.signed && !attempts.PromisesNotRun(o.status) && !s.written[o.id] && !o.sending && !s.dialedAt(o.at):
		return fmt.Errorf("%s: status %d, and nothing of it was written", o.id, o.status)
	case runs > 1 && !p.repeatable():
		return fmt.Errorf("%s: %d runs", o.id, runs)
	case runs > p.attempts && p.repeatable():
		return fmt.Errorf("%s: %d runs, %d allowed", o.id, runs, p.attempts)
	case served && (o.body != whole || !o.signed):
		return fmt.Errorf("%s: answered %q, signed %v", o.id, o.body, o.signed)
	case served && runs == 0:
		return fmt.Errorf("%s: answered without a run", o.id)
	case o.signed && o.status >= http.StatusMultipleChoices && !slices.Contains(s.given[o.id], o.status):
		return fmt.Errorf("%s: signed status %d, given %v", o.id, o.status, s.given[o.id])
	}
	return nil
}

// Guards against a promise that a request did not run after it has, and a second run of what may run once, in whatever
// order endpoints do what they may do, beside attempts at silent endpoints, the end of the instance and deadlines.
func TestNoPromiseAfterARun(t *testing.T) {
	reached := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPromisePlay(rt)
		var failure error
		var log string
		var s *scriptedEndpoints
		synctest.Test(t, func(t *testing.T) {
			var outcomes []promiseOutcome
			outcomes, s, log = p.run(t)
			for _, o := range outcomes {
				failure = errors.Join(failure, p.check(o, s))
				reached[strconv.Itoa(o.status)]++
			}
		})
		for _, event := range []string{"silent", "moved", "kept", "repeated", "resumed", "broken"} {
			reached[event] += strings.Count(log, `"event":"`+event+`"`)
		}
		if failure != nil {
			rt.Fatalf("%v\n%+v\n%s\n%s", failure, p, strings.Join(s.notes, "\n"), log)
		}
	})
	t.Log(reached)
}

// forwarder returns a forwarder whose endpoints are scripted.
func (p promisePlay) forwarder(t *testing.T, s *scriptedEndpoints, log *eventlog.Log, scope tally.Scope) (*Forwarder, *uplink.Pool) {
	t.Helper()
	now := func() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }
	d := directory.New()
	d.Apply(now(), directory.Configured{Table: p.table(t), Revision: 1})
	for n := range p.endpoints {
		p.addEndpoint(d, now(), "e"+strconv.Itoa(n+1), directory.Decode, int64(n+2))
	}
	prompt := 0
	if p.engines && p.prefill {
		prompt = 100
		p.addEndpoint(d, now(), "p1", directory.Prefill, 10)
		p.addEndpoint(d, now(), "p2", directory.Prefill, 11)
	}
	pool := uplink.NewPool(tally.NoopScope, now)
	pool.Dial = s.dial
	if p.peer {
		pool.Connect = func(ctx context.Context, m uplink.Message) (uplink.Path, error) {
			c, err := s.dial(ctx, m.Address)
			return uplink.Path{Conn: c, Peer: "n2", Finish: func() { _ = c.Close() }}, err
		}
	}
	var permits atomic.Int64
	f := New(Options{
		Codec: scriptedCodec(prompt), Directory: d, Balancer: balance.New("a", nil), Pool: pool, Log: log, Scope: scope, Now: now,
		Retry: budget.Rule{Ratio: 1, Slack: 10_000, Window: 10 * time.Second}, BodyMemory: 1 << 20, WriteTimeout: time.Minute,
		Shares: Shares{
			Admit: func(string, string, int) sharegate.Decision {
				return sharegate.Decision{Admitted: true, Excess: p.excess}
			},
			Queued:       func(string) []string { return []string{"e1", "e2"} },
			RecordAnswer: func(string, string, balance.Load, time.Duration) {},
		},
		Permits: Permits{
			Take: func(ctx context.Context, _ string, _ int) time.Duration {
				ticker.Sleep(ctx, p.wait(&permits))
				return 0
			},
			Return:   func(string) {},
			Withheld: func(int) map[string]time.Duration { return nil }, ReportNoLimit: func(string, clock.Millis) {},
		},
		FindPlace: p.planner(d), ReleasePlace: func(*broker.Place, string, string, *placement.Observation) {},
		ReportDecodeStart: func(*broker.Place, int) {}, ReportPrefillDone: func(*broker.Place, int, time.Duration) {},
		Isolated: func() bool { return false }, ReportGone: func(string) {}, LinkLost: func(string) bool { return false },
		CheckProcess: func(context.Context, *directory.Endpoint) dialer.Verdict { return dialer.Running },
		Streams: Streams{
			Begin:     func(streams.Stream, streams.Origin, time.Duration) {},
			Confirm:   func(context.Context, string, string, ...route.Bucket) error { return nil },
			Confirmed: func(string) []string { return nil },
			Find: func(context.Context, streams.Stream, string) streams.Finding {
				return streams.Finding{Outcome: streams.Unknown}
			},
		},
		Suspects: suspects.New(suspects.Options{Scope: tally.NoopScope, Now: now}),
	})
	return f, pool
}

func (p promisePlay) table(t *testing.T) *route.Table {
	t.Helper()
	service := route.Service{Name: "s"}
	if p.engines {
		service.Engine = &route.Engine{Slots: 8, KVTokens: 10_000, HandleLife: time.Second}
	}
	table, err := route.NewTable(route.Document{
		Version: 1, Services: []route.Service{service}, Limits: route.Limits{BodyBytes: 1000},
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: p.kind, Resumable: p.resumable, Timeout: p.timeout, Target: p.target, GapTarget: p.gap,
			Attempts: p.attempts, Shares: []route.Share{{Service: "s", Weight: 1}},
		}},
	})
	qt.Assert(t, err, qt.IsNil)
	return table
}

func (p promisePlay) addEndpoint(d *directory.Directory, now clock.Millis, id string, stage directory.Stage, revision int64) {
	e := directory.Endpoint{ID: id, Entry: id, Service: "s", Zone: "a", Slots: 8, Revision: revision, Software: "v1"}
	if p.engines {
		e.Stage = stage
	}
	e.Address = netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(revision))
	d.Apply(now, directory.Seen{Endpoint: e})
}

// wait returns the next wait, of which asked counts those so far.
func (p promisePlay) wait(asked *atomic.Int64) time.Duration {
	n := int(asked.Add(1))
	if n > len(p.waits) {
		return 0
	}
	return p.waits[n-1]
}

// planner returns a function that finds places at the engines that a request does not exclude.
func (p promisePlay) planner(d *directory.Directory) func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
	var asked atomic.Int64
	return func(ctx context.Context, req placement.Request, _ residency.Area) (*broker.Place, *placement.Refusal) {
		ticker.Sleep(ctx, p.wait(&asked))
		n := int(asked.Load())
		refusal := &placement.Refusal{Reason: "full", RetryAfter: 50 * time.Millisecond}
		if n <= len(p.refusals) && p.refusals[n-1] {
			return nil, refusal
		}
		grant := placement.Grant{}
		for _, avoided := range []bool{false, true} {
			for i := range p.endpoints {
				id := "e" + strconv.Itoa((n+i)%p.endpoints+1)
				if grant.Decode == "" && !slices.Contains(req.Exclude, id) && slices.Contains(req.Avoid, id) == avoided {
					grant.Decode = id
				}
			}
		}
		if grant.Decode == "" {
			return nil, refusal
		}
		for _, id := range []string{"p1", "p2"} {
			if req.Part == placement.Both && grant.Prefill == "" && d.View().Find(id) != nil && !slices.Contains(req.Exclude, id) {
				grant.Prefill = id
			}
		}
		return &broker.Place{Grant: grant, Zone: "a"}, nil
	}
}
