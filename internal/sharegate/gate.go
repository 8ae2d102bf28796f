// Package sharegate admits requests of one instance to plain services according to the
// latest status of a ledger, and counts arrivals and answers for its reports. Decisions are
// pure: the caller passes the time.
package sharegate

import (
	"fmt"
	"maps"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/capacity"
	"github.com/trailshed/trailshed/internal/jitter"
	"github.com/trailshed/trailshed/internal/sharing"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// statusTimeout is how long a status is used. While a service is contended they come
	// every 200 ms.
	statusTimeout = time.Second
	// idleInterval and busyInterval are how often an instance reports.
	idleInterval = 500 * time.Millisecond
	busyInterval = 200 * time.Millisecond
	// burst is the number of arrivals of one class that are reported at once.
	burst = 2
	// fullInterval is how often an instance reports everything.
	fullInterval = 2 * time.Second
	// queueTimeout is how long an endpoint is assumed to have the queue that it stated.
	queueTimeout = time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of refused callers, before
	// jitter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retrySpread is the range of the retry delay as a fraction of it, so that callers refused
	// together do not retry together.
	retrySpread = 0.5
)

// Decision is a gate's decision on a request.
type Decision struct {
	Admitted   bool
	Excess     bool          // the class asks for more than its share
	RetryAfter time.Duration // after which a refused caller may retry
	AdmitRatio float64       // fraction of the class's requests that is admitted
	Share      float64       // requests a second of the class that all instances admit
	Capacity   float64       // requests a second that the service can serve
	Age        time.Duration // of the status
}

// String lists the inputs of the decision, for the log.
func (d Decision) String() string {
	return fmt.Sprintf("share %.1f/s, pass %.2f, capacity %.0f/s", d.Share, d.AdmitRatio, d.Capacity)
}

// Gate admits requests of one instance. It is not safe for concurrent use.
type Gate struct {
	services   map[string]*service
	refused    int // refused requests so far, from which the jitter is derived
	hasBurst   bool
	reportedAt clock.Millis
	fullAt     clock.Millis // of the last full report
}

// service is a gate's state of one service.
type service struct {
	classes  map[sharing.Class]*class
	answers  capacity.Answers
	reported capacity.Answers
	queuedAt map[string]clock.Millis // by endpoint: when an answer last stated a queue
	status   sharing.Status
	statusAt clock.Millis // 0: none
}

type class struct {
	arrived, reported float64
	credit            float64 // requests that may be admitted; each request adds the ratio
	cut               sharing.Cut
	isCut             bool
}

// New returns a gate that admits all requests until it receives a status.
func New() *Gate { return &Gate{services: map[string]*service{}} }

func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil {
		s = &service{classes: map[sharing.Class]*class{}, queuedAt: map[string]clock.Millis{}}
		g.services[name] = s
	}
	return s
}

func (s *service) class(c sharing.Class) *class {
	k := s.classes[c]
	if k == nil {
		k = &class{credit: jitter.Fraction(len(s.classes))}
		s.classes[c] = k
	}
	return k
}

// Admit counts the arrival of a request and decides whether it may go to the service.
func (g *Gate) Admit(now clock.Millis, serviceName string, c sharing.Class) Decision {
	s := g.service(serviceName)
	k := s.class(c)
	k.arrived++
	g.hasBurst = g.hasBurst || k.arrived-k.reported >= burst
	if s.statusAt == 0 || now.Sub(s.statusAt) > statusTimeout || !k.isCut {
		return Decision{Admitted: true, AdmitRatio: 1}
	}
	d := Decision{Excess: true, AdmitRatio: k.cut.AdmitRatio, Share: k.cut.Share, Capacity: s.status.Capacity, Age: now.Sub(s.statusAt)}
	k.credit += d.AdmitRatio
	if k.credit >= 1 {
		k.credit--
		d.Admitted = true
		return d
	}
	g.refused++
	d.RetryAfter = g.retryAfter(d.AdmitRatio)
	return d
}

// retryAfter returns when a refused caller may retry: the requests refused in a second
// take 1/ratio - 1 seconds at the admitted rate.
func (g *Gate) retryAfter(ratio float64) time.Duration {
	after := maxRetryAfter
	if ratio > 0 {
		after = time.Duration(min((1/ratio-1), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return jitter.Delay(max(after, minRetryAfter), retrySpread, g.refused)
}

// RecordAnswer counts an answer that stated an endpoint's load, with the time that it took.
func (g *Gate) RecordAnswer(now clock.Millis, serviceName, endpoint string, l balance.Load, took, target time.Duration) {
	s := g.service(serviceName)
	s.answers.Record(l, took, target)
	delete(s.queuedAt, endpoint)
	if l.Waiting > 0 {
		s.queuedAt[endpoint] = now
	}
}

// Queued returns the endpoints of a service that stated a queue a short time ago. Requests
// of a class that asks for more than its share use only the others, so that they delay no
// one else.
func (g *Gate) Queued(now clock.Millis, serviceName string) []string {
	var list []string
	s := g.service(serviceName)
	for endpoint, at := range s.queuedAt {
		if now.Sub(at) > queueTimeout {
			delete(s.queuedAt, endpoint)
			continue
		}
		list = append(list, endpoint)
	}
	return list
}

// isBusy reports whether some service is contended or had a queue a short time ago, so that
// reports should be frequent.
func (g *Gate) isBusy(now clock.Millis) bool {
	for name, s := range g.services {
		if s.statusAt > 0 && now.Sub(s.statusAt) <= statusTimeout || len(g.Queued(now, name)) > 0 {
			return true
		}
	}
	return false
}

// Report returns what has changed since the last report. It returns everything, and sets
// full, if all is set or if that is due. It reports false if no report is due.
func (g *Gate) Report(now clock.Millis, all bool) (uses []sharing.Use, full, due bool) {
	elapsed := now.Sub(g.reportedAt)
	if !all && !g.hasBurst && elapsed < busyInterval || !all && !g.hasBurst && elapsed < idleInterval && !g.isBusy(now) {
		return nil, false, false
	}
	g.reportedAt, g.hasBurst = now, false
	full = all || now.Sub(g.fullAt) >= fullInterval
	if full {
		g.fullAt = now
	}
	for name, s := range g.services {
		u := sharing.Use{Service: name, Answers: s.answers}
		for c, k := range s.classes {
			if k.arrived > 0 && (full || k.arrived != k.reported) {
				k.reported = k.arrived
				u.Arrivals = append(u.Arrivals, sharing.Arrivals{Class: c, Count: k.arrived})
			}
		}
		if full || len(u.Arrivals) > 0 || s.answers != s.reported {
			s.reported = s.answers
			uses = append(uses, u)
		}
	}
	return uses, full, true
}

// Update applies the statuses of a ledger. Services that it omits are not contended.
func (g *Gate) Update(now clock.Millis, statuses []sharing.Status) {
	for _, s := range g.services {
		s.statusAt = 0
		for _, k := range s.classes {
			k.isCut = false
		}
	}
	for _, status := range statuses {
		s := g.service(status.Service)
		s.status, s.statusAt = status, now
		for _, c := range status.Cuts {
			k := s.class(c.Class)
			k.cut, k.isCut = c, true
		}
	}
}

// Keep drops the state of services and workspaces for which the functions return false.
// Requests without a workspace are always kept.
func (g *Gate) Keep(isShared, exists func(name string) bool) {
	maps.DeleteFunc(g.services, func(name string, _ *service) bool { return !isShared(name) })
	for _, s := range g.services {
		maps.DeleteFunc(s.classes, func(c sharing.Class, _ *class) bool { return c.Workspace != "" && !exists(c.Workspace) })
	}
}
