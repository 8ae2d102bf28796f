// Package suspects shares between instances which requests end the endpoints that
// run them: what one sees is told to its zone and to some of each other zone at once,
// compared each second, and what is held is kept in the platform's store, so that it
// outlasts every instance. Which requests those are, package quarantine decides.
package suspects

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("suspects")

// ErrExists says that the store has a record of the request already.
var ErrExists = errors.New("a record of the request exists")

// The topics between instances.
const (
	topicTold    = "suspects.told"
	topicCompare = "suspects.compare"
)

const (
	// tickEvery is how often it is looked at what the store lacks.
	tickEvery = 250 * time.Millisecond
	// compareEvery is how often an instance asks another whether it holds the same:
	// after a cut of the ways between them, all know the same within three of these,
	// which is the users' time to be in touch again.
	compareEvery = time.Second
	// compareWait bounds one such question.
	compareWait = 800 * time.Millisecond
	// recordsTold bounds the records of one message, to about 30 kB; the store tells
	// the rest.
	recordsTold = 256
	// saveGrace is how long whoever watches the store waits for the instance that saw
	// the last end to save it.
	saveGrace = 600 * time.Millisecond
	// togetherFor is for how long ends are gathered before any is blamed on a request.
	// What a fault ends at one moment, an instance with two fifths of a core has looked
	// at within some tens of ms.
	togetherFor = 80 * time.Millisecond
	// savePause is between two tries at what the store did not take.
	savePause = 500 * time.Millisecond
)

// Store keeps the records of requests that are held.
type Store struct {
	// Save writes a record; its error is ErrExists if there is one of the request.
	Save func(ctx context.Context, r quarantine.Record) (revision int64, err error)
	// Remove removes a request's record.
	Remove func(ctx context.Context, work quarantine.Fingerprint) error
	// Read reads a request's record.
	Read func(ctx context.Context, work quarantine.Fingerprint) (quarantine.Stored, error)
}

// News is what the store tells of records.
type News struct {
	Records  []quarantine.Stored
	Released []quarantine.Release
	Complete bool // Records are all there are up to Revision
	Revision int64
	Problems []error // records that could not be read
}

// Options are what Suspects works with.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Store      Store
	Scope      tally.Scope
	Now        func() clock.Millis
	// Peers are the instances known, this one among them; the first of each zone pass
	// on what they are told.
	Peers func() []Peer
	// Watching says whether this instance follows the store for its zone.
	Watching func() bool
	// Held is told of a request that is run no more, or may be run again.
	Held func(r quarantine.Record)
	// Unreadable is told of a record in the store that cannot be read.
	Unreadable func(err error, revision int64)
}

// Peer is an instance.
type Peer struct {
	Name, Zone string
	Address    netip.AddrPort
}

// Suspects is one instance's part. It is safe for concurrent use.
type Suspects struct {
	Options
	holding  atomic.Bool // some request is held: only then arrivals are looked at
	compared clock.Millis
	tried    clock.Millis // when the store was last called

	mu    sync.Mutex // never held while sending
	table *quarantine.Table
	ends  []quarantine.End // seen within togetherFor
}

// told is what an instance tells others.
type told struct {
	Records []quarantine.Record `cbor:"1,keyasint"`
	PassOn  bool                `cbor:"2,keyasint,omitempty"` // to the receiver's zone
	Differs bool                `cbor:"3,keyasint,omitempty"` // the asker holds other requests
}

// question asks who holds something else; the answer is told.
type question struct {
	Digest uint64 `cbor:"1,keyasint"`
}

// New returns one that does not run yet.
func New(o Options) *Suspects {
	return &Suspects{Options: o, table: quarantine.NewTable()}
}

// Register adds the handlers of other instances' messages.
func (s *Suspects) Register(r *message.Router) {
	peer.Handle(r, s.Transport, topicTold, func(_ peer.Sender, t told) {
		news := s.take(t.Records)
		if t.PassOn {
			s.tell(s.near(), news, false)
		}
	})
	peer.Answer(r, s.Transport, topicCompare, func(_ context.Context, _ peer.Sender, q question) told {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.table.Digest() == q.Digest {
			return told{}
		}
		return told{Records: s.table.Firm(recordsTold), Differs: true}
	})
}

// Holds says whether a request is to be run no more.
func (s *Suspects) Holds(w quarantine.Work) bool {
	if !s.holding.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Holds(w)
}

// Ended takes that an endpoint ended while it ran a request. Others are told a moment
// later, unless many ended together; at once, if the request ended two.
func (s *Suspects) Ended(w quarantine.Work, endpoint string) {
	end := quarantine.NewEnd(w, endpoint)
	s.mu.Lock()
	if len(s.ends) == 0 {
		time.AfterFunc(togetherFor, s.blame)
	}
	s.ends = append(s.ends, end)
	twice := quarantine.Twice(s.ends, end)
	s.mu.Unlock()
	if twice {
		s.blame()
	}
}

// blame holds the ends seen within a moment against the requests.
func (s *Suspects) blame() {
	var fresh []quarantine.Record
	s.mu.Lock()
	ends := s.ends
	s.ends = nil
	for _, e := range quarantine.Blamed(ends) {
		if r, news := s.table.Blame(s.Now(), e); news {
			fresh = append(fresh, r)
		}
	}
	s.mu.Unlock()
	s.tellAll(fresh)
}

// Completed takes that a request ran to its end; if it was suspected, others are told.
func (s *Suspects) Completed(w quarantine.Work) {
	s.mu.Lock()
	r, news := s.table.Completed(s.Now(), w)
	s.mu.Unlock()
	if news {
		s.tellAll([]quarantine.Record{r})
	}
}

func (s *Suspects) tellAll(fresh []quarantine.Record) {
	if len(fresh) == 0 {
		return
	}
	s.note(fresh)
	s.tell(s.near(), fresh, false)
	s.tell(s.far(), fresh, true)
}

// take joins records that others told, and returns those that were news.
func (s *Suspects) take(list []quarantine.Record) []quarantine.Record {
	var fresh []quarantine.Record
	s.mu.Lock()
	for _, r := range list {
		if merged, news := s.table.Take(s.Now(), r); news {
			fresh = append(fresh, merged)
		}
	}
	s.mu.Unlock()
	s.note(fresh)
	return fresh
}

// TakeStored takes what the store told. What is news goes to the zone: those who do
// not watch hear it from those who do.
func (s *Suspects) TakeStored(n News) {
	var fresh []quarantine.Record
	s.mu.Lock()
	now := s.Now()
	released := n.Released
	if n.Complete {
		released = append(released, s.table.Missing(n.Records, n.Revision)...)
	}
	for _, stored := range n.Records {
		if r, news := s.table.Saved(now, stored); news {
			fresh = append(fresh, r)
		}
	}
	for _, l := range released {
		if r, news := s.table.Released(now, l); news {
			fresh = append(fresh, r)
		}
	}
	s.mu.Unlock()
	for _, err := range n.Problems {
		s.Unreadable(err, n.Revision)
	}
	s.note(fresh)
	s.tell(s.near(), fresh, false)
}

// Run compares with others and keeps the store's records until ctx ends.
func (s *Suspects) Run(ctx context.Context) {
	ticker.Every(ctx, tickEvery, func() {
		s.compare(ctx)
		s.save(ctx)
	})
}

// compare asks another instance what it holds, and tells it what it lacks.
func (s *Suspects) compare(ctx context.Context) {
	now := s.Now()
	if now.Sub(s.compared) < compareEvery {
		return
	}
	s.compared = now
	other, ok := s.other()
	if !ok {
		return
	}
	s.mu.Lock()
	q := question{Digest: s.table.Digest()}
	s.mu.Unlock()
	go func() { // whoever does not answer holds nothing up
		ctx, cancel := context.WithTimeout(ctx, compareWait)
		defer cancel()
		answer, err := peer.Ask[question, told](ctx, s.Transport, other, topicCompare, q)
		if err != nil {
			s.Scope.Counter("suspects_unanswered").Inc(1)
			return
		}
		s.differ(other, answer)
	}()
}

// differ takes another instance's answer. What that instance lacks it is told; what
// was lacking here goes to the zone if this instance speaks for it.
func (s *Suspects) differ(other netip.AddrPort, answer told) {
	if !answer.Differs {
		return
	}
	news := s.take(answer.Records)
	if s.Watching() {
		s.tell(s.near(), news, false)
	}
	theirs := map[quarantine.Fingerprint]bool{}
	for _, r := range answer.Records {
		theirs[r.Work] = r.Held()
	}
	s.mu.Lock()
	var lacking []quarantine.Record
	for _, r := range s.table.Firm(recordsTold) {
		if r.Held() && !theirs[r.Work] {
			lacking = append(lacking, r)
		}
	}
	s.mu.Unlock()
	s.tell([]netip.AddrPort{other}, lacking, true)
}

func (s *Suspects) tell(to []netip.AddrPort, list []quarantine.Record, passOn bool) {
	if len(list) == 0 {
		return
	}
	unsent := peer.SendAll(s.Transport, to, topicTold, told{Records: list, PassOn: passOn})
	s.Scope.Counter("suspects_send_failed").Inc(int64(unsent))
}

// save writes to the store what it lacks, and removes what is not held any more.
func (s *Suspects) save(ctx context.Context) {
	now := s.Now()
	if now.Sub(s.tried) < savePause {
		return
	}
	watching := s.Watching()
	s.mu.Lock()
	old := s.table.Expire(now)
	unsaved := s.table.Unsaved(now, watching, saveGrace)
	unneeded := s.table.Unneeded()
	s.mu.Unlock()
	if !watching {
		unneeded = nil // one of those who watch removes them
	}
	for _, r := range unsaved {
		s.tried = now
		if !s.keep(ctx, r) {
			return
		}
	}
	for _, l := range append(unneeded, old...) {
		s.tried = now
		if err := s.Store.Remove(ctx, l.Work); err != nil {
			s.Scope.Counter("suspects_remove_failed").Inc(1)
			return
		}
		s.mu.Lock()
		s.table.Released(now, l)
		s.mu.Unlock()
	}
}

// keep writes one record; false means that the store does not take it now.
func (s *Suspects) keep(ctx context.Context, r quarantine.Record) bool {
	revision, err := s.Store.Save(ctx, r)
	stored := quarantine.Stored{Record: r, Revision: revision}
	if errors.Is(err, ErrExists) {
		stored, err = s.Store.Read(ctx, r.Work)
	}
	if err != nil {
		s.Scope.Counter("suspects_save_failed").Inc(1)
		return false
	}
	s.mu.Lock()
	s.table.Saved(s.Now(), stored)
	s.mu.Unlock()
	return true
}

// note tells where a request is held, or is not any more. What is only suspected is
// not worth a line each: where a zone is cut, all that ran in the others is.
func (s *Suspects) note(fresh []quarantine.Record) {
	if len(fresh) == 0 {
		return
	}
	s.mu.Lock()
	held, suspected := s.table.Count()
	s.holding.Store(held > 0)
	s.mu.Unlock()
	for _, r := range fresh {
		if r.Held() || len(r.Ended) == 0 {
			s.Held(r)
		}
	}
	s.Scope.Gauge("requests_held").Update(float64(held))
	s.Scope.Gauge("requests_suspected").Update(float64(suspected))
}
