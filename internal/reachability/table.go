// Package reachability records which endpoints an instance reaches by connections of its own.
// A connection that fails does not say whether the endpoint or the instance's own network is
// at fault. Only endpoints that a peer reached at the same moment are recorded here: they are
// reached through peers until a connection of the instance's own succeeds again.
package reachability

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// minBypassed is how many endpoints of a service a peer must have reached in this instance's
// stead, without a connection of its own to any of them in between, before the whole service
// counts as lost. A single one may be a lost packet or an endpoint that just started.
const minBypassed = 2

// Loss describes the loss of an instance's links to a service.
type Loss struct {
	Service  string
	Evidence string        // which endpoints failed, and how
	Length   time.Duration // so far
}

// Table is safe for concurrent use.
type Table struct {
	now func() clock.Millis
	// OnLost and OnRegained are called when the links to a service are lost and when they
	// are back.
	OnLost, OnRegained func(Loss)

	mu       sync.Mutex
	services map[string]*service
}

// service is the state of one service's endpoints.
type service struct {
	bypassed map[string]string // failures by endpoint, of those reached through peers
	recent   map[string]bool   // those of them found since the last connection of the own
	lostAt   clock.Millis      // since when all endpoints are reached through peers; 0: they are not
}

// New returns an empty table.
func New(now func() clock.Millis) *Table {
	return &Table{now: now, OnLost: func(Loss) {}, OnRegained: func(Loss) {}, services: map[string]*service{}}
}

// Bypassed reports whether an endpoint is to be reached through a peer.
func (t *Table) Bypassed(name, endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && (s.lostAt != 0 || s.bypassed[endpoint] != "")
}

// Lost reports whether the links to any service are lost.
func (t *Table) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.lostAt != 0 {
			return true
		}
	}
	return false
}

// RecordBypass records that a peer reached an endpoint to which this instance failed to
// connect. size is the number of the service's endpoints.
func (t *Table) RecordBypass(name, endpoint string, size int, failure error) {
	t.mu.Lock()
	s := t.services[name]
	if s == nil {
		s = &service{bypassed: map[string]string{}, recent: map[string]bool{}}
		t.services[name] = s
	}
	s.bypassed[endpoint], s.recent[endpoint] = failure.Error(), true
	lost := s.lostAt == 0 && len(s.recent) >= min(minBypassed, max(size, 1))
	if lost {
		s.lostAt = t.now()
	}
	loss := Loss{Service: name, Evidence: s.evidence()}
	t.mu.Unlock()
	if lost {
		t.OnLost(loss)
	}
}

// RecordConnection records that this instance connected to an endpoint. If the links to its
// service were lost, they are back, and all of the service's endpoints are tried again.
// Otherwise only this endpoint is: others may still be out of reach.
func (t *Table) RecordConnection(name, endpoint string) {
	t.mu.Lock()
	s := t.services[name]
	if s == nil {
		t.mu.Unlock()
		return
	}
	loss := Loss{Service: name, Evidence: endpoint + " connected"}
	regained := s.lostAt != 0
	if regained {
		loss.Length = t.now().Sub(s.lostAt)
	}
	delete(s.bypassed, endpoint)
	clear(s.recent)
	if regained || len(s.bypassed) == 0 {
		delete(t.services, name)
	}
	t.mu.Unlock()
	if regained {
		t.OnRegained(loss)
	}
}

// Endpoints returns the endpoints that peers reached in this instance's stead, by service.
func (t *Table) Endpoints() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[string][]string{}
	for name, s := range t.services {
		for endpoint := range s.bypassed {
			list[name] = append(list[name], endpoint)
		}
	}
	return list
}

// Forget removes an endpoint that no longer exists. Without any endpoint left, the service is
// no longer lost, because nothing could show that its links are back.
func (t *Table) Forget(name, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return
	}
	delete(s.bypassed, endpoint)
	if len(s.bypassed) == 0 {
		delete(t.services, name)
	}
}

// evidence returns the failures that show the loss.
func (s *service) evidence() string {
	var parts []string
	for endpoint, failure := range s.bypassed {
		parts = append(parts, endpoint+": "+failure)
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ") + "; peers connected"
}
