// Package platform is a simple stand-in for the platform's key-value service,
// for tests and demonstrations. It keeps everything in memory.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/trailshed/trailshed/internal/platform"
)

// Faults are the faults that tests inject; the zero value injects none.
type Faults struct {
	Outage      bool `json:"outage"`       // every call fails with status 503
	SlowMS      int  `json:"slow_ms"`      // delay of every call
	LoseAnswers int  `json:"lose_answers"` // how many writes will be applied but answered with an error
}

// Counts is the number of calls received; a watch counts once.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// lease keeps keys until it expires.
type lease struct {
	expires time.Time
	keys    map[string]bool
}

// Platform is a key-value service in memory.
type Platform struct {
	mu        sync.Mutex
	entries   map[string]platform.Entry
	index     int64
	changed   chan struct{} // closed and replaced at each change
	leases    map[int64]*lease
	faults    Faults
	counts    Counts
	instances []platform.Instance
	lag       time.Duration // delay until a new list of instances is visible
	writes    *rate.Limiter
	reads     *rate.Limiter
}

// New returns an empty service that accepts the given numbers of calls a second and
// refuses more. Its list of instances lags by the given time.
func New(writesPerSecond, readsPerSecond int, lag time.Duration) *Platform {
	return &Platform{
		lag:     lag,
		entries: map[string]platform.Entry{}, changed: make(chan struct{}), leases: map[int64]*lease{},
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
	}
}

// Handler returns the service, with fault injection, the list of instances and
// counts under /control.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(p.injectFaults)
		r.Get("/kv", p.list)
		r.Get("/kv/{key}", p.get)
		r.Put("/kv/{key}", p.put)
		r.Delete("/kv/{key}", p.remove)
		r.Get("/watch", p.watch)
		r.Post("/lease", p.grant)
		r.Post("/lease/{id}", p.renew)
		r.Get("/instances", p.listInstances)
	})
	r.Put("/control/faults", p.setFaults)
	r.Put("/control/instances", p.setInstances)
	r.Get("/control/counts", p.getCounts)
	return r
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the number of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// injectFaults counts calls, applies faults and refuses calls over the rate limits.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.count(r)
		p.mu.Unlock()
		if f.SlowMS > 0 {
			sleep(r.Context(), time.Duration(f.SlowMS)*time.Millisecond)
		}
		if f.Outage || !p.limiter(r).Allow() {
			p.mu.Lock()
			p.counts.Refused++
			p.mu.Unlock()
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) count(r *http.Request) {
	switch {
	case r.URL.Path == "/watch":
		p.counts.Watches++
	case r.Method == http.MethodGet:
		p.counts.Reads++
	default:
		p.counts.Writes++
	}
}

func (p *Platform) limiter(r *http.Request) *rate.Limiter {
	if r.Method == http.MethodGet {
		return p.reads
	}
	return p.writes
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.expire()
	e, ok := p.entries[keyOf(r)]
	p.mu.Unlock()
	if !ok || e.Deleted {
		http.Error(w, "missing", http.StatusNotFound)
		return
	}
	reply(w, e)
}

// keyOf returns the key in the path, with escaped slashes decoded.
func keyOf(r *http.Request) string {
	key, err := url.PathUnescape(chi.URLParam(r, "key"))
	if err != nil {
		return ""
	}
	return key
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	found := []platform.Entry{}
	for _, key := range slices.Sorted(maps.Keys(p.entries)) {
		e := p.entries[key]
		if e.Deleted || !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(found) == limit {
			break
		}
		found = append(found, e)
	}
	reply(w, found)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, 1<<20+1))
	if err != nil || len(value) > 1<<20 {
		http.Error(w, "value over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	e := platform.Entry{Key: keyOf(r), Value: value}
	p.write(w, r, e)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, platform.Entry{Key: keyOf(r), Deleted: true})
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, e platform.Entry) {
	version, _ := strconv.ParseInt(r.FormValue("version"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	old := p.entries[e.Key]
	if old.Deleted {
		old.Version = 0
	}
	if old.Version != version {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	if id, _ := strconv.ParseInt(r.FormValue("lease"), 10, 64); id != 0 {
		l, ok := p.leases[id]
		if !ok {
			http.Error(w, "no such lease", http.StatusPreconditionFailed)
			return
		}
		l.keys[e.Key] = true
	}
	e = p.store(e)
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		http.Error(w, "answer lost", http.StatusGatewayTimeout)
		return
	}
	reply(w, platform.Entry{Key: e.Key, Version: e.Version})
}

// store saves e with the next index as its version and wakes up watches; the caller
// holds the lock.
func (p *Platform) store(e platform.Entry) platform.Entry {
	p.index++
	e.Version = p.index
	p.entries[e.Key] = e
	close(p.changed)
	p.changed = make(chan struct{})
	return e
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		p.expire()
		c := platform.Changes{Index: p.index, Entries: p.since(prefix, after)}
		outage, changed := p.faults.Outage, p.changed
		p.mu.Unlock()
		if outage {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if len(c.Entries) > 0 {
			reply(w, c)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, c)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the entries under prefix that changed after index, oldest first.
func (p *Platform) since(prefix string, index int64) []platform.Entry {
	found := []platform.Entry{}
	for key, e := range p.entries {
		if e.Version > index && strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b platform.Entry) int { return int(a.Version - b.Version) })
	return found
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	ttl, _ := strconv.Atoi(r.FormValue("ttl_ms"))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.leases[p.index] = &lease{expires: time.Now().Add(time.Duration(ttl) * time.Millisecond), keys: map[string]bool{}}
	reply(w, map[string]int64{"id": p.index})
}

func (p *Platform) renew(w http.ResponseWriter, r *http.Request) {
	ttl, _ := strconv.Atoi(r.FormValue("ttl_ms"))
	id, _ := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	l, ok := p.leases[id]
	if !ok {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(time.Duration(ttl) * time.Millisecond)
	reply(w, map[string]int64{"id": id})
}

// expire deletes expired leases and their keys; the caller holds the lock.
func (p *Platform) expire() {
	now := time.Now()
	for id, l := range p.leases {
		if l.expires.After(now) {
			continue
		}
		delete(p.leases, id)
		for key := range l.keys {
			p.store(platform.Entry{Key: key, Deleted: true})
		}
	}
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, p.instances)
}

func (p *Platform) setFaults(_ http.ResponseWriter, r *http.Request) {
	var f Faults
	if json.NewDecoder(r.Body).Decode(&f) == nil {
		p.SetFaults(f)
	}
}

// SetInstances replaces the list of instances once the lag has passed.
func (p *Platform) SetInstances(list []platform.Instance) {
	time.AfterFunc(p.lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.instances = list
	})
}

func (p *Platform) setInstances(w http.ResponseWriter, r *http.Request) {
	var list []platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(list)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.Counts())
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
