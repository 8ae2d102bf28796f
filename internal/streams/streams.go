// Package streams remembers which software version of a service's endpoints began each stream.
// What two versions write does not fit together, and a caller whose stream broke may take it up
// at any instance.
//
// While a service's endpoints run several versions, or the history of versions may lack some, the
// instance that sends a stream to an endpoint gives a record of it to two peers, its keepers: one
// in its own zone and one in another. The keepers follow from the stream's ID, so that any instance
// finds them. The record also goes into an archive in the store, which outlives the loss of all
// instances. Otherwise nothing is sent or written.
//
// Without a record, the version is known only if the history is complete and names one, and if the
// stream's route has led nowhere else. What an instance lists is no proof: it may have started after
// a version went, and it may lag behind.
package streams

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/archive"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/releases"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Topics of messages between instances.
const (
	topicRecord = "stream.began"
	topicQuery  = "stream.find"
)

const (
	// confirmTimeout bounds how long a stream waits until it may begin at a version. Callers wait
	// several hundred milliseconds for the first event of a stream that is in time.
	confirmTimeout = 400 * time.Millisecond
	// storeTimeout bounds each wait for the history or the archive when a stream is taken up.
	storeTimeout = 300 * time.Millisecond
	// askTimeout bounds the time in which keepers answer. A round trip between zones takes
	// 3 ms; callers give up a stream after a gap of two seconds.
	askTimeout = 150 * time.Millisecond
	// checkInterval is how often it is checked whether the streams of a service need records.
	checkInterval = 100 * time.Millisecond
	// maxHandOver bounds the records that are handed over at a check. More do not fit into the queues of messages.
	maxHandOver = 1000
	// returnGrace is how long after its time is up a caller's last attempt may still arrive.
	returnGrace = time.Second
)

// Stream identifies a stream over all attempts of its caller.
type Stream struct {
	Workspace string
	ID        string // of the attempt that brought its first event
	// Routes is the bucket of the routes that the request matched. Without a digest, the service
	// that began the stream can't be told from where they lead.
	Routes route.Bucket
}

// key is a hash by which records are kept and compared. Another workspace's stream of the same
// ID has another one.
func (s Stream) key() uint64 { return xxhash.Sum64String(s.Workspace + "\x00" + s.ID) }

// Origin says what began a stream.
type Origin struct {
	Service  string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint"` // version; empty if unknown
}

// Outcome says what is known about the origin of a stream.
type Outcome string

// The values of Outcome.
const (
	Recorded Outcome = "recorded" // an instance has a record of it
	Archived Outcome = "archived" // the store has a record of it
	Inferred Outcome = "inferred" // every endpoint that may have begun it runs the same version
	Unknown  Outcome = "unknown"  // endpoints of several versions may have begun it
	// Unanswered is Unknown, but some of those that may know did not answer.
	Unanswered Outcome = "unanswered"
)

// Finding is what is known about the origin of a stream, and from what.
type Finding struct {
	Origin   Origin
	Outcome  Outcome
	Evidence Evidence
}

// Evidence is what a finding rests on.
type Evidence struct {
	Asked, Answered int // instances
	// Complete is how many of those that answered, and of this one, know all versions that may
	// have begun streams, as far as they can without the store.
	Complete int
	Versions []string // of the service
	// Rerouted says that the stream's route may have led elsewhere when it began.
	Rerouted bool
	History  string // whether Versions are those of the history
}

// The values of Evidence.History.
const (
	historyUnread     = "not read"
	historyFailed     = "no answer"
	historyComplete   = "complete"
	historyIncomplete = "incomplete"
)

// String returns the evidence as text for a log line.
func (e Evidence) String() string {
	text := fmt.Sprintf("history %s, %d of %d peers answered, %d know all versions, versions %q", e.History, e.Answered, e.Asked, e.Complete, e.Versions)
	if e.Rerouted {
		text += ", its route may have led elsewhere"
	}
	return text
}

// recordMessage gives a keeper a record.
type recordMessage struct {
	Key      uint64        `cbor:"1,keyasint"`
	Origin   Origin        `cbor:"2,keyasint"`
	Lifetime time.Duration `cbor:"3,keyasint"`
	Send     int           `cbor:"4,keyasint"`
	Bucket   string        `cbor:"6,keyasint,omitempty"` // of the routes that the request matched
}

func (m recordMessage) archived() archive.Record {
	return archive.Record{Key: m.Key, Service: m.Origin.Service, Software: m.Origin.Software, Send: m.Send, Left: m.Lifetime}
}

// query asks for the record of a stream.
type query struct {
	Key     uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Store asks for what the store has: the history, and the record in the archive. The sender
	// could not read it, or leaves the reading to a few.
	Store  bool   `cbor:"3,keyasint,omitempty"`
	Bucket string `cbor:"4,keyasint,omitempty"` // of the routes that the request matched
}

// reply answers a query. Builds before the history send neither Complete nor History, so that
// their lists of versions prove nothing.
type reply struct {
	Known    bool     `cbor:"1,keyasint"`
	Origin   Origin   `cbor:"2,keyasint"`
	Versions []string `cbor:"3,keyasint"` // those of the service that the sender knows
	Complete bool     `cbor:"4,keyasint,omitempty"`
	// Of a query with Store:
	Archived    bool              `cbor:"5,keyasint,omitempty"` // Origin is from the archive
	Unread      bool              `cbor:"6,keyasint,omitempty"` // the archive could not be read
	HistoryRead bool              `cbor:"7,keyasint,omitempty"`
	History     releases.Versions `cbor:"8,keyasint"`

	Send int `cbor:"9,keyasint,omitempty"` // of the record, see record.send
	// Routes are the digests of the query's bucket that the sender knows. Earlier builds, and those
	// that know of none, leave them out: they prove nothing about the stream's route.
	Routes []string `cbor:"10,keyasint,omitempty"`

	zone string // of the sender
}

// Options configure a Registry.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Directory  *directory.Directory
	Scope      tally.Scope
	Now        func() clock.Millis
	// Leaving reports whether this instance is stopping. If it is nil, the instance never is.
	Leaving func() bool
	// Confirm returns nil once the history holds a version and where routes lead.
	Confirm func(ctx context.Context, service, software string, routes ...route.Bucket) error
	// Versions returns the versions that may have begun a service's streams before the call, and the
	// digests of buckets.
	Versions func(ctx context.Context, service string, buckets ...string) (releases.Versions, error)
	// Known returns the same of a service, or the digests of a bucket, as far as this process knows it
	// without the store.
	Known func(subject string) releases.Versions
	// Archive adds a record to the archive, and FindArchived returns one of it.
	Archive      func(archive.Record)
	FindArchived func(ctx context.Context, key uint64) (r archive.Record, known bool, err error)
}

// Registry remembers the origins of streams, together with those of other instances.
type Registry struct {
	Options

	mu    sync.Mutex
	table table
	needs map[string]recordNeed // of services and buckets at the last check

	leftBefore bool     // this instance was stopping at the last check
	left       []uint64 // keys of the records that it still has to hand over

	delivery delivery
}

// New returns an empty registry.
func New(o Options) *Registry {
	if o.Leaving == nil {
		o.Leaving = func() bool { return false }
	}
	return &Registry{Options: o, table: table{records: map[uint64]record{}}, needs: map[string]recordNeed{}, delivery: newDelivery()}
}

// Register adds the handlers of messages from other instances.
func (r *Registry) Register(router *message.Router) {
	peer.Handle(router, r.Transport, topicRecord, func(_ peer.Sender, m recordMessage) {
		r.put(m.Key, record{origin: m.Origin, until: r.Now().Add(m.Lifetime), send: m.Send, bucket: m.Bucket})
	})
	peer.HandleCall(router, r.Transport, topicArchive, func(_ context.Context, _ peer.Sender, q archiveRequest) archiveReply {
		for _, m := range q.Records {
			r.Archive(m.archived())
		}
		return archiveReply{Taken: true}
	})
	peer.HandleCall(router, r.Transport, topicQuery, func(ctx context.Context, _ peer.Sender, q query) reply { return r.answer(ctx, q) })
}

// Run keeps the records until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { ticker.Every(ctx, checkInterval, r.step) })
	group.Go(func() { r.deliverAll(ctx) })
	group.Wait()
}

// step drops expired records, and gives those of services or routes whose streams have come to need
// them more to their keepers. An instance that is stopping also hands over all others, some at each check.
func (r *Registry) step() {
	leaving := r.Leaving()
	r.mu.Lock()
	r.table.expire(r.Now())
	var due []uint64
	needs := map[string]recordNeed{}
	for key, rec := range r.table.records {
		service := rec.origin.Service
		for _, subject := range []string{service, rec.bucket} {
			if _, checked := needs[subject]; !checked {
				needs[subject] = r.needOf(subject)
			}
		}
		need, before := max(needs[service], needs[rec.bucket]), max(r.needs[service], r.needs[rec.bucket])
		if need == noNeed {
			continue
		}
		if leaving && !r.leftBefore {
			r.left = append(r.left, key)
		} else if rec.own && need > before {
			due = append(due, key)
		}
	}
	r.needs, r.leftBefore = needs, leaving
	n := min(len(r.left), maxHandOver)
	handed := r.left[:n]
	r.left = r.left[n:]
	size := len(r.table.records)
	r.mu.Unlock()
	r.Scope.Gauge("stream_records").Update(float64(size))
	for _, key := range due {
		r.share(key)
	}
	for _, key := range handed {
		r.giveToKeepers(key)
	}
}

// Begin records what began a stream, or goes on with it. It is called before the stream's first
// event is passed on, so that each stream that a caller may take up has a record, and none names
// an endpoint that sent no event. left is how long the caller waits.
func (r *Registry) Begin(s Stream, o Origin, left time.Duration) {
	key := s.key()
	r.put(key, record{origin: o, until: r.Now().Add(left + returnGrace), own: true, bucket: s.Routes.Name})
	if max(r.needOf(o.Service), r.needOf(s.Routes.Name)) != noNeed {
		r.share(key)
	}
}

// recordNeed says why streams of a service, or of a bucket of routes, go on only with a record once
// all instances are gone. Records that are given when a greater need arises are given again: instances
// that start together are not connected yet.
type recordNeed int

const (
	noNeed         recordNeed = iota
	incompleteNeed            // the history may lack what they began at
	mixedNeed                 // several versions may have begun them, or their routes have led elsewhere
)

// needOf returns why the streams of a service or of a bucket need records at the moment, if they do.
// What went before this process started counts, as the history holds it.
func (r *Registry) needOf(subject string) recordNeed {
	if subject == "" {
		return noNeed // a stream of an earlier build, or without a route
	}
	known := r.Known(subject)
	switch {
	case len(known.List) > 1:
		return mixedNeed
	case known.Lacking || !known.Complete:
		return incompleteNeed
	default:
		return noNeed
	}
}

// ConfirmVersion returns nil once a stream to which its caller may return may be sent to an
// endpoint of a version for the first time, by the routes of a bucket.
func (r *Registry) ConfirmVersion(ctx context.Context, service, software string, routes ...route.Bucket) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return r.Confirm(ctx, service, software, routes...)
}

// share gives the record of a stream to its keepers and to the instances that write it to the
// archive.
func (r *Registry) share(key uint64) {
	r.giveToKeepers(key)
	r.delivery.add(key)
}

// giveToKeepers gives the record of a stream to its keepers.
func (r *Registry) giveToKeepers(key uint64) {
	m, known := r.message(key)
	if !known {
		return
	}
	unsent := peer.SendAll(r.Transport, addresses(r.keepers(key)), topicRecord, m)
	r.Scope.Counter("stream_records_unsent").Inc(int64(unsent))
}

// message returns the message that gives the record of a stream to others.
func (r *Registry) message(key uint64) (m recordMessage, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, known := r.table.records[key]
	return recordMessage{Key: key, Origin: rec.origin, Lifetime: rec.until.Sub(r.Now()), Send: rec.send, Bucket: rec.bucket}, known
}

func (r *Registry) find(key uint64) (rec record, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.find(r.Now(), key)
}

func (r *Registry) put(key uint64, rec record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.put(key, rec) {
		r.Scope.Counter("stream_records_dropped").Inc(1)
	}
}
