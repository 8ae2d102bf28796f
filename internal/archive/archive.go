// Package archive keeps which software version began each stream in the platform's store, for
// the case that all instances that remember it are killed at once. Records are written in
// batches, some times a second, and only while the history of versions can't tell it.
package archive

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/pkg/clock"
)

// ErrLapsed is returned by Store.Renew and Store.Write if the lease has expired.
var ErrLapsed = errors.New("lease has lapsed")

// Record says which version of which service began a stream.
type Record struct {
	Key               uint64 // hash of the stream's ID
	Service, Software string
	Send              int           // number of the send that began it: a later one replaces it
	Left              time.Duration // its caller does not return later
}

// Store reads and writes batches.
type Store struct {
	// Grant creates a lease. What is written under it goes with it.
	Grant func(ctx context.Context, ttl time.Duration) (lease int64, err error)
	Renew func(ctx context.Context, lease int64) error
	// Write sets one batch of a lease; slots distinguish the batches of a lease.
	Write func(ctx context.Context, lease int64, slot int, data []byte) error
	// Read returns all batches of all instances.
	Read func(ctx context.Context) (batches [][]byte, err error)
}

// Options configure an Archive.
type Options struct {
	Store Store
	// Writers returns how many instances write.
	Writers func() int
	// WriteRate is how many writes a second all instances together may make.
	WriteRate float64
	Scope     tally.Scope
	Now       func() clock.Millis
}

// Archive is an instance's access to the stored records.
type Archive struct {
	Options
	wake   chan struct{} // there are records to be written
	writer writer
	reader reader

	mu          sync.Mutex
	queue       []entry
	queuedSince clock.Millis
}

// New returns an instance's access to the stored records. Run must be called, too.
func New(o Options) *Archive {
	return &Archive{Options: o, wake: make(chan struct{}, 1), writer: writer{segments: newSegmentSet()}}
}

// Add queues a record for the next batch.
func (a *Archive) Add(r Record) {
	now := a.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) >= maxQueue || len(r.Service) > maxNameBytes || len(r.Software) > maxNameBytes {
		a.Scope.Counter("archive_records_dropped").Inc(1)
		return
	}
	if len(a.queue) == 0 {
		a.queuedSince = now
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	a.queue = append(a.queue, newEntry(r, now))
}
