// Package ratelimit tracks how many requests a second endpoints accept from all
// instances together, as named in their responses to any instance. The newest statement
// wins; an older one that arrives later, from a peer or in a delayed response, changes
// nothing. Decisions are pure: the caller passes the time.
package ratelimit

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// limitRetention is how long a limit is kept without a response that confirms it.
	// By then nothing has been sent to the endpoint for that long, and the next
	// response names the limit again.
	limitRetention = 30 * time.Second
	// liftedRetention is how long it is remembered that a limit was lifted, so that
	// peers with an outdated view do not restore it.
	liftedRetention = 10 * time.Second
	// rateTolerance is the fraction by which a rate may change without counting as a
	// change. Some endpoints adjust their rate to their load: announcing each change to
	// all instances would cost more than the difference matters.
	rateTolerance = 0.05
	// minAgeGain is how much newer a peer's statement must be than the same statement
	// here to replace it. Transit time is not added to a statement's age, so without a
	// minimum two peers that exchange the same statement would keep it from expiring.
	minAgeGain = 250 * time.Millisecond
)

// Statement is what one response of an endpoint said about its limit.
type Statement struct {
	Endpoint string        `cbor:"1,keyasint"`           // the endpoint's ID, new for each incarnation
	Zone     string        `cbor:"2,keyasint"`           // the endpoint's
	Rate     float64       `cbor:"3,keyasint"`           // requests a second from all instances
	Lifted   bool          `cbor:"4,keyasint,omitempty"` // the limit was lifted
	Age      time.Duration `cbor:"5,keyasint"`           // since the response arrived
}

// Table holds the known limits. It is not safe for concurrent use.
type Table struct {
	limits map[string]observation
	cold   map[string]coldLimit
}

// coldLimit is the limit of a cold endpoint, which all instances read from the
// endpoint's entry in the store. It ends with time, whatever the endpoint's responses
// name.
type coldLimit struct {
	zone  string
	rate  float64
	until clock.Millis
}

// observation is a statement with the time of its response instead of its age.
type observation struct {
	Statement
	observedAt clock.Millis
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{limits: map[string]observation{}, cold: map[string]coldLimit{}} }

// ObserveCold records that an endpoint is cold for the time left and limited to rate
// meanwhile. It reports whether the endpoint was not known to be cold before.
func (t *Table) ObserveCold(now clock.Millis, endpoint, zone string, rate float64, left time.Duration) (added bool) {
	_, known := t.cold[endpoint]
	t.cold[endpoint] = coldLimit{zone: zone, rate: rate, until: now.Add(left)}
	return !known
}

// ObserveLimit records that a response of an endpoint named a rate. It reports whether the
// limit changed.
func (t *Table) ObserveLimit(now clock.Millis, endpoint, zone string, rate float64) (changed bool) {
	before, known := t.limits[endpoint]
	if known && !before.Lifted && math.Abs(rate-before.Rate) <= rateTolerance*before.Rate {
		before.observedAt = now
		t.limits[endpoint] = before
		return false
	}
	t.limits[endpoint] = observation{Statement: Statement{Endpoint: endpoint, Zone: zone, Rate: rate}, observedAt: now}
	return true
}

// ObserveNoLimit records that an endpoint answered a request successfully without naming
// a limit. A request sent before the limit was observed does not lift it.
// ObserveNoLimit reports whether the limit was lifted.
func (t *Table) ObserveNoLimit(now clock.Millis, endpoint string, sent clock.Millis) (changed bool) {
	o, known := t.limits[endpoint]
	if !known || o.Lifted || sent <= o.observedAt {
		return false
	}
	o.Lifted, o.observedAt = true, now
	t.limits[endpoint] = o
	return true
}

// Merge merges the statements of a peer and returns those that changed a limit.
func (t *Table) Merge(now clock.Millis, list []Statement) (changes []Statement) {
	for _, s := range list {
		o := observation{Statement: s, observedAt: now.Add(-s.Age)}
		before, known := t.limits[s.Endpoint]
		switch {
		case !known && s.Lifted:
		case !known, before.differs(s) && o.observedAt > before.observedAt:
			t.limits[s.Endpoint] = o
			changes = append(changes, s)
		case !before.differs(s) && o.observedAt.Sub(before.observedAt) > minAgeGain:
			t.limits[s.Endpoint] = o
		}
	}
	return changes
}

func (o observation) differs(s Statement) bool {
	return o.Lifted != s.Lifted || !s.Lifted && o.Rate != s.Rate
}

// Limit returns the rate to which an endpoint is limited, if it is, and the endpoint's
// zone.
func (t *Table) Limit(endpoint string) (rate float64, zone string, limited bool) {
	o, named := t.limits[endpoint]
	named = named && !o.Lifted
	c, cold := t.cold[endpoint]
	switch {
	case named && cold:
		return min(o.Rate, c.rate), c.zone, true
	case cold:
		return c.rate, c.zone, true
	default:
		return o.Rate, o.Zone, named
	}
}

// IsLimited reports whether an endpoint is limited.
func (t *Table) IsLimited(endpoint string) bool {
	_, _, limited := t.Limit(endpoint)
	return limited
}

// Digest returns a hash of the limits named in responses. It is equal for tables with
// the same rates for the same endpoints.
func (t *Table) Digest() uint64 {
	var sum uint64
	for _, o := range t.limits {
		if !o.Lifted {
			sum ^= xxhash.Sum64String(o.Endpoint + "\x00" + strconv.FormatFloat(o.Rate, 'g', -1, 64))
		}
	}
	return sum
}

// All returns the known statements, for peers.
func (t *Table) All(now clock.Millis) []Statement {
	list := make([]Statement, 0, len(t.limits))
	for _, o := range t.limits {
		o.Age = now.Sub(o.observedAt)
		list = append(list, o.Statement)
	}
	return list
}

// Limited returns the limited endpoints with their effective rates.
func (t *Table) Limited() []Statement {
	list := make([]Statement, 0, len(t.limits)+len(t.cold))
	add := func(endpoint string) {
		rate, zone, limited := t.Limit(endpoint)
		if limited {
			list = append(list, Statement{Endpoint: endpoint, Zone: zone, Rate: rate})
		}
	}
	for endpoint := range t.limits {
		add(endpoint)
	}
	for endpoint := range t.cold {
		if _, both := t.limits[endpoint]; !both {
			add(endpoint)
		}
	}
	return list
}

// Expire removes outdated limits.
func (t *Table) Expire(now clock.Millis) {
	for endpoint, c := range t.cold {
		if now >= c.until {
			delete(t.cold, endpoint)
		}
	}
	for endpoint, o := range t.limits {
		age := now.Sub(o.observedAt)
		if o.Lifted && age > liftedRetention || age > limitRetention {
			delete(t.limits, endpoint)
		}
	}
}

// Empty reports whether nothing is known, not even that a limit was lifted.
func (t *Table) Empty() bool { return len(t.limits) == 0 && len(t.cold) == 0 }

// Size returns the number of limited endpoints.
func (t *Table) Size() int { return len(t.Limited()) }

// Zones returns the zones of the limited endpoints.
func (t *Table) Zones() []string {
	var list []string
	seen := map[string]bool{}
	for _, s := range t.Limited() {
		if !seen[s.Zone] {
			seen[s.Zone] = true
			list = append(list, s.Zone)
		}
	}
	return list
}
