// Package ratelimit keeps how many requests a second endpoints take from all instances
// together, as their answers to any instance tell. The newest word counts; an older one
// that comes later, from a peer or in an answer that was overtaken, changes nothing.
// Decisions are pure: the caller gives the time.
package ratelimit

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// memory is how long a limit is kept of which no answer tells any more: nothing is
	// sent there, and the next answer will tell.
	memory = 30 * time.Second
	// afterlife is how long it is kept that a limit is over, so that peers who heard of
	// the limit late do not bring it back.
	afterlife = 10 * time.Second
	// alike is the part of a rate by which it may change without being another one: to
	// tell everybody of each change of a rate that follows an endpoint's load would cost
	// more than the difference.
	alike = 0.05
	// fresher is by how much a peer's word must be newer than the same word here to
	// count as heard later. Each word ages a little less than the time that it is on
	// its way, and would never grow old between two who tell it each other.
	fresher = 250 * time.Millisecond
)

// Statement is what one answer of an endpoint said.
type Statement struct {
	Endpoint string        `cbor:"1,keyasint"` // its life
	Zone     string        `cbor:"2,keyasint"` // the endpoint's
	Rate     float64       `cbor:"3,keyasint"` // requests a second from all instances
	Over     bool          `cbor:"4,keyasint,omitempty"`
	Age      time.Duration `cbor:"5,keyasint"` // since the answer came
}

// Table is the limits that are known. It is not safe for concurrent use.
type Table struct {
	known map[string]word
	cold  map[string]warmup
}

// warmup is what an endpoint takes while it is cold, as its entry in the store tells all
// instances. It ends by time and not by what answers name.
type warmup struct {
	zone  string
	rate  float64
	until clock.Millis
}

// word is a statement with the time of its answer in place of its age.
type word struct {
	Statement
	heard clock.Millis
}

// NewTable returns a table that knows nothing.
func NewTable() *Table { return &Table{known: map[string]word{}, cold: map[string]warmup{}} }

// Warming takes that an endpoint is cold for some time and takes no more than a rate
// meanwhile. It says whether that is news.
func (t *Table) Warming(now clock.Millis, endpoint, zone string, rate float64, left time.Duration) (news bool) {
	_, known := t.cold[endpoint]
	t.cold[endpoint] = warmup{zone: zone, rate: rate, until: now.Add(left)}
	return !known
}

// Named takes that an answer of an endpoint names a rate. It says whether that is news.
func (t *Table) Named(now clock.Millis, endpoint, zone string, rate float64) (news bool) {
	before, known := t.known[endpoint]
	if known && !before.Over && math.Abs(rate-before.Rate) <= alike*before.Rate {
		before.heard = now
		t.known[endpoint] = before
		return false
	}
	t.known[endpoint] = word{Statement: Statement{Endpoint: endpoint, Zone: zone, Rate: rate}, heard: now}
	return true
}

// Unnamed takes that an endpoint answered well, and named none, to a request that was
// sent at a time. Whoever asked before the limit was heard learns nothing of its end.
func (t *Table) Unnamed(now clock.Millis, endpoint string, sent clock.Millis) (news bool) {
	w, known := t.known[endpoint]
	if !known || w.Over || sent <= w.heard {
		return false
	}
	w.Over, w.heard = true, now
	t.known[endpoint] = w
	return true
}

// Merge takes what a peer knows and returns what of it is news.
func (t *Table) Merge(now clock.Millis, list []Statement) (news []Statement) {
	for _, s := range list {
		w := word{Statement: s, heard: now.Add(-s.Age)}
		before, known := t.known[s.Endpoint]
		switch {
		case !known && s.Over:
		case !known, before.differs(s) && w.heard > before.heard:
			t.known[s.Endpoint] = w
			news = append(news, s)
		case !before.differs(s) && w.heard.Sub(before.heard) > fresher:
			t.known[s.Endpoint] = w
		}
	}
	return news
}

func (w word) differs(s Statement) bool { return w.Over != s.Over || !s.Over && w.Rate != s.Rate }

// Limit returns the rate that binds an endpoint and the endpoint's zone, if any does.
func (t *Table) Limit(endpoint string) (rate float64, zone string, limited bool) {
	w, named := t.known[endpoint]
	named = named && !w.Over
	c, cold := t.cold[endpoint]
	switch {
	case named && cold:
		return min(w.Rate, c.rate), c.zone, true
	case cold:
		return c.rate, c.zone, true
	default:
		return w.Rate, w.Zone, named
	}
}

// Binds says whether a limit binds an endpoint.
func (t *Table) Binds(endpoint string) bool {
	_, _, limited := t.Limit(endpoint)
	return limited
}

// Digest is the same for two tables by which the same rates bind the same endpoints.
func (t *Table) Digest() uint64 {
	var sum uint64
	for _, w := range t.known {
		if !w.Over {
			sum ^= xxhash.Sum64String(w.Endpoint + "\x00" + strconv.FormatFloat(w.Rate, 'g', -1, 64))
		}
	}
	return sum
}

// All returns what is known, for peers.
func (t *Table) All(now clock.Millis) []Statement {
	list := make([]Statement, 0, len(t.known))
	for _, w := range t.known {
		w.Age = now.Sub(w.heard)
		list = append(list, w.Statement)
	}
	return list
}

// Bound returns the endpoints that limits bind, with their rates.
func (t *Table) Bound() []Statement {
	list := make([]Statement, 0, len(t.known)+len(t.cold))
	add := func(endpoint string) {
		rate, zone, limited := t.Limit(endpoint)
		if limited {
			list = append(list, Statement{Endpoint: endpoint, Zone: zone, Rate: rate})
		}
	}
	for endpoint := range t.known {
		add(endpoint)
	}
	for endpoint := range t.cold {
		if _, both := t.known[endpoint]; !both {
			add(endpoint)
		}
	}
	return list
}

// Expire forgets what is too old.
func (t *Table) Expire(now clock.Millis) {
	for endpoint, c := range t.cold {
		if now >= c.until {
			delete(t.cold, endpoint)
		}
	}
	for endpoint, w := range t.known {
		age := now.Sub(w.heard)
		if w.Over && age > afterlife || age > memory {
			delete(t.known, endpoint)
		}
	}
}

// Empty says whether nothing is known, not even that a limit is over.
func (t *Table) Empty() bool { return len(t.known) == 0 && len(t.cold) == 0 }

// Size is how many endpoints are limited.
func (t *Table) Size() int { return len(t.Bound()) }

// Zones are the zones of endpoints whose limits bind.
func (t *Table) Zones() []string {
	var list []string
	seen := map[string]bool{}
	for _, s := range t.Bound() {
		if !seen[s.Zone] {
			seen[s.Zone] = true
			list = append(list, s.Zone)
		}
	}
	return list
}
