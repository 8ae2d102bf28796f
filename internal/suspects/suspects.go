// Package suspects shares between instances which requests end the endpoints that
// run them. An instance announces what it observes at once to its own zone and to a few
// instances of each other zone, and instances compare their records every second. Held
// requests are also saved in the platform's store, so that they outlast every instance.
// Package quarantine decides which requests are held.
package suspects

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("suspects")

// ErrExists is returned by Store.Save if the store already has a record of the request.
var ErrExists = errors.New("a record of the request exists")

// Topics of the messages between instances.
const (
	topicRecords = "suspects.told"
	topicCompare = "suspects.compare"
)

const (
	// tickInterval is the interval at which Run checks whether a comparison or a store
	// update is due.
	tickInterval = 250 * time.Millisecond
	// compareInterval is the interval at which an instance compares its records with
	// another one. After a network partition heals, all instances agree within three
	// intervals, which is the time the users allow for restoring contact.
	compareInterval = time.Second
	// compareTimeout is the timeout of one comparison call.
	compareTimeout = 800 * time.Millisecond
	// maxMessageRecords bounds the records in one message, to about 30 kB; the remaining
	// ones are read from the store.
	maxMessageRecords = 256
	// saveDelay is how long an instance that watches the store waits for the instance
	// that observed the last end to save the record.
	saveDelay = 600 * time.Millisecond
	// endWindow is how long ends are collected before any is attributed to a request.
	// An instance with 0.4 of a core processes all ends of one simultaneous fault within
	// some tens of ms.
	endWindow = 80 * time.Millisecond
	// saveRetryDelay is the minimum delay between a call to the store and the next pass of
	// updates to it.
	saveRetryDelay = 500 * time.Millisecond
)

// Store provides access to the stored records of held requests.
type Store struct {
	// Save writes a record. It returns ErrExists if the request already has one.
	Save func(ctx context.Context, r quarantine.Record) (revision int64, err error)
	// Replace writes a record in place of the stored one. It returns ErrExists if that has another
	// revision.
	Replace func(ctx context.Context, s quarantine.Stored) (revision int64, err error)
	// Remove deletes a record.
	Remove func(ctx context.Context, r quarantine.Removal) error
	// Read returns the stored record that has the same key as r.
	Read func(ctx context.Context, r quarantine.Record) (quarantine.Stored, error)
}

// StoreUpdate is a listing of the store's records or a batch of changes to them.
type StoreUpdate struct {
	Records  []quarantine.Stored
	Removals []quarantine.Removal
	Complete bool // Records is a full listing as of Revision
	Revision int64
	Errors   []error // records that could not be read
}

// Options configure a Suspects.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Store      Store
	Scope      tally.Scope
	Now        func() clock.Millis
	// Peers returns the known instances, including this one. The first ones of each
	// zone are its relays.
	Peers func() []Peer
	// EndpointGone reports whether an incarnation of an endpoint no longer exists, according
	// to its entry in the store.
	EndpointGone func(id string) bool
	// Watching reports whether this instance watches the store for its zone.
	Watching func() bool
	// OnHeldChange is called for each changed record of a request that is held or was
	// cleared, and for each part that became held or is held no more, or whose hold has lapsed or
	// was renewed.
	OnHeldChange func(r quarantine.Record)
	// OnUnreadable is called for each record of the store that cannot be decoded.
	OnUnreadable func(err error, revision int64)
}

// Peer identifies an instance and its address.
type Peer struct {
	Name, Zone string
	Address    netip.AddrPort
}

// Suspects holds one instance's records of suspected and held requests and keeps them
// in sync with the other instances and the store. It is safe for concurrent use.
type Suspects struct {
	Options
	anyHeld       atomic.Bool  // whether any request is held; if not, Holds skips the table
	anyPartHeld   atomic.Bool  // the same of parts
	lastCompared  clock.Millis // time of the last comparison
	lastStoreCall clock.Millis // time of the last call to the store

	mu    sync.Mutex // never held while sending
	table *quarantine.Table
	ends  []quarantine.End // observed within endWindow, not yet attributed
	// uncertain are ends that could not be proved yet, in the order of their time.
	uncertain []uncertainEnd
}

// recordsMessage carries records to another instance.
type recordsMessage struct {
	Records []quarantine.Record `cbor:"1,keyasint"`
	Relay   bool                `cbor:"2,keyasint,omitempty"` // the receiver relays the records to its zone
	Differs bool                `cbor:"3,keyasint,omitempty"` // in a reply: the caller's digest differs
	// Parts are records of parts of prompts. Earlier builds take each of Records for one of a
	// request.
	Parts []quarantine.Record `cbor:"4,keyasint,omitempty"`
}

// newRecordsMessage returns a message with records of both kinds.
func newRecordsMessage(list []quarantine.Record) (m recordsMessage) {
	for _, r := range list {
		if r.Part != nil {
			m.Parts = append(m.Parts, r)
		} else {
			m.Records = append(m.Records, r)
		}
	}
	return m
}

// all returns the records of both kinds.
func (m recordsMessage) all() []quarantine.Record { return slices.Concat(m.Records, m.Parts) }

// compareRequest is a comparison request with the caller's digest; the reply is a
// recordsMessage.
type compareRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
	// PartsDigest is that of parts; nil in a request of an earlier build, which has none.
	PartsDigest *uint64 `cbor:"2,keyasint,omitempty"`
}

// New returns a Suspects with no records. Call Register and Run to start it.
func New(o Options) *Suspects {
	return &Suspects{Options: o, table: quarantine.NewTable()}
}

// Register adds the handlers for messages from other instances.
func (s *Suspects) Register(r *message.Router) {
	peer.Handle(r, s.Transport, topicRecords, func(_ peer.Sender, m recordsMessage) {
		updated := s.merge(m.all())
		if m.Relay {
			s.send(s.zonePeers(), updated, false)
		}
	})
	peer.HandleCall(r, s.Transport, topicCompare, func(_ context.Context, _ peer.Sender, req compareRequest) recordsMessage {
		s.mu.Lock()
		defer s.mu.Unlock()
		var reply recordsMessage
		if s.table.Digest() != req.Digest {
			reply.Records, reply.Differs = s.table.Settled(maxMessageRecords), true
		}
		if req.PartsDigest != nil && s.table.PartsDigest() != *req.PartsDigest {
			reply.Parts, reply.Differs = s.table.SettledParts(maxMessageRecords), true
		}
		return reply
	})
}

// Holds reports whether a request is held and must not be run.
func (s *Suspects) Holds(w quarantine.Work) bool {
	if !s.anyHeld.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Holds(w)
}

// HoldsPrompt reports whether a prompt has parts that crash endpoints and must not be run, and
// returns one of them.
func (s *Suspects) HoldsPrompt(p quarantine.Prompt) (prompt.Part, bool) {
	if !s.anyPartHeld.Load() || len(p.Parts) == 0 {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HoldsPrompt(s.Now(), p)
}

// RecordEnd records that an endpoint ended while it ran a request. Other instances are
// notified after endWindow, unless many endpoints ended together. They are notified at
// once if the request ran at two of the endpoints that ended, and of the parts of the prompt p.
// p has parts only if the endpoint was not seen to go on writing an answer.
func (s *Suspects) RecordEnd(w quarantine.Work, p quarantine.Prompt, endpoint string) {
	end := quarantine.NewEnd(w, endpoint)
	s.mu.Lock()
	parts := s.table.RecordPartEnd(s.Now(), p, endpoint)
	if len(s.ends) == 0 {
		time.AfterFunc(endWindow, s.attributeEnds)
	}
	s.ends = append(s.ends, end)
	twice := quarantine.EndedElsewhere(s.ends, end)
	s.mu.Unlock()
	s.announce(parts)
	if twice {
		s.attributeEnds()
	}
}

// attributeEnds adds the collected ends to the records of their requests and announces
// the records that changed.
func (s *Suspects) attributeEnds() {
	var updated []quarantine.Record
	s.mu.Lock()
	ends := s.ends
	s.ends = nil
	for _, e := range quarantine.Attributable(ends) {
		if r, changed := s.table.AddEnd(s.Now(), e); changed {
			updated = append(updated, r)
		}
	}
	s.mu.Unlock()
	s.announce(updated)
}

// RecordCompletion records that a request ran to completion. If it was suspected, other
// instances are notified.
func (s *Suspects) RecordCompletion(w quarantine.Work) {
	s.mu.Lock()
	r, changed := s.table.RecordCompletion(s.Now(), w)
	s.mu.Unlock()
	if changed {
		s.announce([]quarantine.Record{r})
	}
}

// RecordBegun records that an endpoint went on writing an answer that it began at begun, which
// speaks for the parts of the prompt. If one was suspected, other instances are notified.
func (s *Suspects) RecordBegun(p quarantine.Prompt, begun clock.Millis) {
	if len(p.Parts) == 0 {
		return
	}
	s.mu.Lock()
	updated := s.table.RecordPartsBegun(s.Now(), p, begun)
	s.mu.Unlock()
	s.announceProof(updated)
}

// announceProof announces what speaks for parts, through the relays of all zones: a part that is in
// many prompts is cleared by many instances at the same time, and a relay passes on only what is
// new to it.
func (s *Suspects) announceProof(updated []quarantine.Record) {
	if len(updated) == 0 {
		return
	}
	s.report(updated)
	s.send(s.zoneRelays(), updated, true)
	s.send(s.remoteRelays(), updated, true)
}

// announce sends records to this zone, and to the relays of the other zones.
func (s *Suspects) announce(updated []quarantine.Record) {
	if len(updated) == 0 {
		return
	}
	s.report(updated)
	s.send(s.zonePeers(), updated, false)
	s.send(s.remoteRelays(), updated, true)
}

// merge adds records from other instances to the table and returns those that changed it.
func (s *Suspects) merge(list []quarantine.Record) []quarantine.Record {
	var updated, proved []quarantine.Record
	s.mu.Lock()
	for _, r := range list {
		merged, changed := s.table.Merge(s.Now(), r)
		if !changed {
			continue
		}
		updated = append(updated, merged)
		if merged.Part != nil && merged.RecentlyCompleted && !r.RecentlyCompleted {
			proved = append(proved, merged)
		}
	}
	s.mu.Unlock()
	s.report(updated)
	s.announceProof(proved)
	return updated
}

// ApplyStored applies an update from the store. Changes are sent to the zone, because
// only some of its instances watch the store.
func (s *Suspects) ApplyStored(u StoreUpdate) {
	var updated []quarantine.Record
	s.mu.Lock()
	now := s.Now()
	released := u.Removals
	if u.Complete {
		released = append(released, s.table.Missing(u.Records, u.Revision)...)
	}
	for _, stored := range u.Records {
		if r, changed := s.table.MergeStored(now, stored); changed {
			updated = append(updated, r)
		}
	}
	for _, removal := range released {
		if r, changed := s.table.ApplyRemoval(now, removal); changed {
			updated = append(updated, r)
		}
	}
	s.mu.Unlock()
	for _, err := range u.Errors {
		s.OnUnreadable(err, u.Revision)
	}
	s.report(updated)
	s.send(s.zonePeers(), updated, false)
}

// Run compares records with other instances and updates the store until ctx ends.
func (s *Suspects) Run(ctx context.Context) {
	ticker.Every(ctx, tickInterval, func() {
		s.resolveUncertain()
		s.reportLapses()
		s.compare(ctx)
		s.updateStore(ctx)
	})
}

// compare exchanges records with another instance if the digests differ.
func (s *Suspects) compare(ctx context.Context) {
	now := s.Now()
	if now.Sub(s.lastCompared) < compareInterval {
		return
	}
	s.lastCompared = now
	other, ok := s.comparisonPeer()
	if !ok {
		return
	}
	s.mu.Lock()
	partsDigest := s.table.PartsDigest()
	req := compareRequest{Digest: s.table.Digest(), PartsDigest: &partsDigest}
	s.mu.Unlock()
	go func() { // an unresponsive peer must not block Run
		ctx, cancel := context.WithTimeout(ctx, compareTimeout)
		defer cancel()
		reply, err := peer.Call[compareRequest, recordsMessage](ctx, s.Transport, other, topicCompare, req)
		if err != nil {
			s.Scope.Counter("suspects_unanswered").Inc(1)
			return
		}
		s.handleDifference(other, reply)
	}()
}

// handleDifference handles the reply of a comparison. It sends the other instance the
// held records that it lacks. Records that were new here are sent to the zone if this
// instance watches the store.
func (s *Suspects) handleDifference(other netip.AddrPort, reply recordsMessage) {
	if !reply.Differs {
		return
	}
	updated := s.merge(reply.all())
	if s.Watching() {
		s.send(s.zonePeers(), updated, false)
	}
	theirs := map[quarantine.Fingerprint]quarantine.Record{}
	for _, r := range reply.all() {
		theirs[r.Work] = r
	}
	s.mu.Lock()
	var lacking []quarantine.Record
	for _, r := range slices.Concat(s.table.Settled(maxMessageRecords), s.table.SettledParts(maxMessageRecords)) {
		if r.Held() && !r.Equal(theirs[r.Work]) {
			lacking = append(lacking, r)
		}
	}
	s.mu.Unlock()
	s.send([]netip.AddrPort{other}, lacking, true)
}

// send sends records to the given instances. With relay set they relay them to their zones.
func (s *Suspects) send(to []netip.AddrPort, list []quarantine.Record, relay bool) {
	if len(list) == 0 {
		return
	}
	m := newRecordsMessage(list)
	m.Relay = relay
	unsent := peer.SendAll(s.Transport, to, topicRecords, m)
	s.Scope.Counter("suspects_send_failed").Inc(int64(unsent))
}

// updateStore writes the held records that the store lacks, and removes those that expired
// or are not held any more.
func (s *Suspects) updateStore(ctx context.Context) {
	now := s.Now()
	if now.Sub(s.lastStoreCall) < saveRetryDelay {
		return
	}
	watching := s.Watching()
	s.mu.Lock()
	expired := s.table.Expire(now)
	unsaved := s.table.Unsaved(now, watching, saveDelay)
	outdated := s.table.Outdated(now, watching, saveDelay)
	obsolete := s.table.Obsolete()
	s.mu.Unlock()
	if !watching {
		obsolete = nil // an instance that watches the store removes them
	}
	for _, r := range unsaved {
		s.lastStoreCall = now
		if !s.saveRecord(ctx, r, s.Store.Save) {
			return
		}
	}
	for _, stored := range outdated {
		s.lastStoreCall = now
		replace := func(ctx context.Context, r quarantine.Record) (int64, error) {
			return s.Store.Replace(ctx, quarantine.Stored{Record: r, Revision: stored.Revision})
		}
		if !s.saveRecord(ctx, stored.Record, replace) {
			return
		}
	}
	for _, removal := range append(obsolete, expired...) {
		s.lastStoreCall = now
		if err := s.Store.Remove(ctx, removal); err != nil {
			s.Scope.Counter("suspects_remove_failed").Inc(1)
			return
		}
		s.mu.Lock()
		s.table.ApplyRemoval(now, removal)
		s.mu.Unlock()
	}
}

// saveRecord saves one record by the given function of the store. It returns false if the store failed.
func (s *Suspects) saveRecord(ctx context.Context, r quarantine.Record, save func(context.Context, quarantine.Record) (int64, error)) bool {
	revision, err := save(ctx, r)
	stored := quarantine.Stored{Record: r, Revision: revision}
	if errors.Is(err, ErrExists) {
		stored, err = s.Store.Read(ctx, r)
	}
	if err != nil {
		s.Scope.Counter("suspects_save_failed").Inc(1)
		return false
	}
	s.mu.Lock()
	s.table.MergeStored(s.Now(), stored)
	s.mu.Unlock()
	return true
}

// report passes changed records of held and cleared requests, and those of parts that became held
// or are held no more, to OnHeldChange, and updates the gauges. Requests and parts that are only
// suspected are not reported one by one: if a zone is partitioned, every request that runs in the
// other zones becomes suspected.
func (s *Suspects) report(updated []quarantine.Record) {
	if len(updated) == 0 {
		return
	}
	s.mu.Lock()
	held, suspected := s.table.Count()
	partsHeld, partsSuspected := s.table.CountParts()
	changes := s.table.TakeHeldChanges()
	s.anyHeld.Store(held > 0)
	s.anyPartHeld.Store(partsHeld > 0)
	s.mu.Unlock()
	s.reportLapses()
	for _, r := range updated {
		if r.Part == nil && (r.Held() || r.EndCount() == 0) {
			s.OnHeldChange(r)
		}
	}
	for _, r := range changes {
		if r.Part != nil || !r.Held() && r.EndCount() > 0 {
			s.OnHeldChange(r)
		}
	}
	s.Scope.Gauge("requests_held").Update(float64(held))
	s.Scope.Gauge("requests_suspected").Update(float64(suspected))
	s.Scope.Gauge("parts_held").Update(float64(partsHeld))
	s.Scope.Gauge("parts_suspected").Update(float64(partsSuspected))
}

// reportLapses passes the records of held parts whose hold has lapsed or was renewed to OnHeldChange.
func (s *Suspects) reportLapses() {
	s.mu.Lock()
	changes, lapsed := s.table.TakeLapseChanges(s.Now())
	s.mu.Unlock()
	for _, r := range changes {
		s.OnHeldChange(r)
	}
	s.Scope.Gauge("parts_lapsed").Update(float64(lapsed))
}
