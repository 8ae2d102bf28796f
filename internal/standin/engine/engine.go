// Package engine is a simple stand-in for model engines and plain services, for
// tests and demonstrations. It takes the time that an engine would, but runs no
// model: answers are words derived from the prompt.
package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/trailshed/trailshed/internal/endpoint"
)

// Role is the kind of work that an engine accepts.
type Role string

// The roles of an engine.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Service Role = "service"
)

// Traits are the fixed properties of an engine. Zero values stand for defaults.
type Traits struct {
	Role         Role          `yaml:"role"`
	Slots        int           `yaml:"slots"`          // concurrent requests in memory
	TokensPerSec int           `yaml:"tokens_per_sec"` // prefill speed
	StepBase     time.Duration `yaml:"step_base"`      // base duration of a decode step
	StepPerSlot  time.Duration `yaml:"step_per_slot"`  // added for each running request
	KVHold       time.Duration `yaml:"kv_hold"`        // how long a prefill result is kept
	LinkTokens   int           `yaml:"link_tokens"`    // speed of KV transfers, in tokens a second
	CacheBlocks  int           `yaml:"cache_blocks"`   // prefix cache size
	ReportLag    time.Duration `yaml:"report_lag"`     // age of load reports
	EventGap     int           `yaml:"event_gap"`      // every EventGap-th cache event is lost
	IgnoreFence  bool          `yaml:"ignore_fence"`   // accepts orders with an outdated fencing token
	CallTime     time.Duration `yaml:"call_time"`      // plain service: time per call
}

func (t *Traits) setDefaults() {
	setDefault(&t.Slots, 20)
	setDefault(&t.TokensPerSec, 20_000)
	setDefault(&t.StepBase, 18*time.Millisecond)
	setDefault(&t.StepPerSlot, time.Millisecond)
	setDefault(&t.KVHold, 800*time.Millisecond)
	setDefault(&t.LinkTokens, 100_000)
	setDefault(&t.CacheBlocks, 4096)
	setDefault(&t.ReportLag, 250*time.Millisecond)
	setDefault(&t.EventGap, 50)
	setDefault(&t.CallTime, 20*time.Millisecond)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are the faults that tests inject; the zero value injects none.
type Faults struct {
	Slow           float64 `json:"slow"`            // factor of all durations; 0 means 1
	StallTransfers bool    `json:"stall_transfers"` // KV fetches hang
	CutAfter       int     `json:"cut_after"`       // streams are aborted after this many tokens
	LoseCancels    int     `json:"lose_cancels"`    // how many cancels will fail
	RepeatTokens   bool    `json:"repeat_tokens"`   // every token is sent twice
	CrashOn        string  `json:"crash_on"`        // calls Crash when it starts a call whose body contains this
	Leaving        bool    `json:"leaving"`         // all responses announce that it is leaving
	Limit          float64 `json:"limit"`           // all responses state this limit of work requests a second; 0: none
	RetryAfter     float64 `json:"rest"`            // work requests are refused, with a Retry-After of this many seconds
}

// Run is an attempt that an engine started to execute.
type Run struct {
	Attempt string    `json:"attempt"`
	Phase   string    `json:"phase"`
	Tokens  int       `json:"tokens"` // computed; wasted if the result is not used
	Key     string    `json:"key"`    // plain service: idempotency key
	Began   time.Time `json:"began"`
	Used    bool      `json:"used"` // prefill: result fetched; decode and call: completed
}

// Engine is a stand-in endpoint.
type Engine struct {
	// Crash simulates the end of the process. It must be set if CrashOn is used.
	Crash func()

	traits Traits
	client *http.Client

	mu           sync.Mutex
	faults       Faults
	workRequests int             // number of work requests received
	jobs         map[string]*job // attempts that hold memory, by ID
	queue        []*job          // prefill: waiting jobs in order of arrival
	runs         []*Run
	cache        cache
	fence        int64
	step         time.Duration
	recentLoads  []timedLoad
	link         sync.Mutex // held during a KV transfer: one at a time
	wake         chan struct{}
	closed       chan struct{}
}

// timedLoad is a load with the time at which it was measured.
type timedLoad struct {
	load endpoint.Load
	at   time.Time
}

// New starts an engine; Close stops it.
func New(t Traits) *Engine {
	t.setDefaults()
	e := &Engine{
		traits: t, client: &http.Client{Timeout: 10 * time.Second},
		jobs: map[string]*job{}, cache: newCache(t.CacheBlocks, t.EventGap),
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	switch t.Role {
	case Prefill:
		go e.prefillLoop()
	case Decode:
		go e.decodeLoop()
	case Service:
	}
	return e
}

// Close stops the engine's loops.
func (e *Engine) Close() { close(e.closed) }

// Handler returns the engine's HTTP interface, with fault injection and the record of
// runs under /control.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(e.addNotices)
	r.Post("/prefill", e.countWork(e.prefill))
	r.Post("/decode", e.countWork(e.decode))
	r.Post("/kv/{attempt}", e.fetch)
	r.Post("/cancel", e.cancel)
	r.Get("/report", e.report)
	r.Post("/order", e.order)
	r.HandleFunc("/call/*", e.countWork(e.call))
	r.Put("/control/faults", e.setFaults)
	r.Get("/control/runs", e.getRuns)
	return r
}

// addNotices adds the notices of the engine to the headers of all responses: that it
// is leaving, and its limit.
func (e *Engine) addNotices(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		if e.faults.Leaving {
			w.Header().Set("Leaving", "1")
		}
		if e.faults.Limit > 0 {
			w.Header().Set("Limit", strconv.FormatFloat(e.faults.Limit, 'g', -1, 64))
		}
		e.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// countWork counts work requests and refuses them if Faults.RetryAfter is set.
func (e *Engine) countWork(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.workRequests++
		retryAfter := e.faults.RetryAfter
		e.mu.Unlock()
		if retryAfter == 0 {
			next(w, r)
			return
		}
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter, 'f', -1, 64))
		http.Error(w, "busy", http.StatusTooManyRequests)
	}
}

// WorkRequests returns the number of work requests received.
func (e *Engine) WorkRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.workRequests
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns a copy of the attempts that the engine started to execute.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Held returns the attempts that hold memory.
func (e *Engine) Held() []endpoint.HeldAttempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held()
}

func (e *Engine) held() []endpoint.HeldAttempt {
	held := make([]endpoint.HeldAttempt, 0, len(e.jobs))
	for _, j := range e.jobs {
		held = append(held, endpoint.HeldAttempt{Attempt: j.attempt, Phase: j.phase})
	}
	return held
}

// scaled multiplies a duration by the Slow fault.
func (e *Engine) scaled(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Slow == 0 {
		return d
	}
	return time.Duration(float64(d) * e.faults.Slow)
}

// recordRun records the start of an execution; the caller holds the lock.
func (e *Engine) recordRun(r Run) *Run {
	r.Began = time.Now()
	e.runs = append(e.runs, &r)
	return &r
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var h endpoint.HeldAttempt
	if json.NewDecoder(r.Body).Decode(&h) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseCancels > 0 {
		e.faults.LoseCancels--
		http.Error(w, "lost", http.StatusInternalServerError)
		return
	}
	j, known := e.jobs[h.Attempt]
	if known {
		e.free(j)
	}
	reply(w, map[string]bool{"known": known})
}

// free releases a job's memory and ends its streams; the caller holds the lock.
func (e *Engine) free(j *job) {
	if e.jobs[j.attempt] == j {
		delete(e.jobs, j.attempt)
	}
	j.end()
	e.wakeLoop()
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, endpoint.Report{Held: e.held(), Load: e.delayedLoad(), Events: e.cache.since(after)})
}

// delayedLoad records the current load and returns the latest one that is at least
// ReportLag old, or else the oldest recorded; the caller holds the lock.
func (e *Engine) delayedLoad() endpoint.Load {
	now := time.Now()
	current := endpoint.Load{StepUS: e.step.Microseconds()}
	for _, j := range e.jobs {
		if j.phase == phaseWaiting {
			current.Waiting++
		} else {
			current.Running++
		}
	}
	e.recentLoads = append(e.recentLoads, timedLoad{load: current, at: now})
	for len(e.recentLoads) > 1 && now.Sub(e.recentLoads[1].at) >= e.traits.ReportLag {
		e.recentLoads = e.recentLoads[1:]
	}
	oldest := e.recentLoads[0]
	oldest.load.AgeMS = now.Sub(oldest.at).Milliseconds()
	return oldest.load
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.traits.IgnoreFence && o.Fence < e.fence {
		http.Error(w, "fenced", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	reply(w, map[string]int64{"fence": e.fence})
}

func (e *Engine) setFaults(_ http.ResponseWriter, r *http.Request) {
	var f Faults
	if json.NewDecoder(r.Body).Decode(&f) == nil {
		e.SetFaults(f)
	}
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) { reply(w, e.Runs()) }

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
