package streams

import (
	"context"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// topicArchive is the topic of messages to the instances that write to the archive.
const topicArchive = "stream.archive"

const (
	// passOverTime is how long a writer that did not answer is passed over. If it has been killed,
	// its entry lapses within that time.
	passOverTime = 6 * time.Second
	// maxDelivery bounds the records of a message, at some 40 bytes each.
	maxDelivery = 500
)

// archiveRequest has the receiver write records to the archive.
type archiveRequest struct {
	Records []recordMessage `cbor:"1,keyasint"`
}

// archiveReply answers an archiveRequest.
type archiveReply struct {
	Taken bool `cbor:"1,keyasint"`
}

// delivery is the records on their way to the instances that write them to the archive. An
// instance that has been killed is listed until its entry lapses, so that its answer counts.
type delivery struct {
	wake chan struct{} // records are pending

	mu         sync.Mutex
	pending    []uint64                // keys
	passedOver map[string]clock.Millis // fingerprints of writers, and until when
}

func newDelivery() delivery {
	return delivery{wake: make(chan struct{}, 1), passedOver: map[string]clock.Millis{}}
}

// add has records delivered.
func (d *delivery) add(keys ...uint64) {
	if len(keys) == 0 {
		return
	}
	d.mu.Lock()
	d.pending = append(d.pending, keys...)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// take returns the keys of the records to be delivered next.
func (d *delivery) take() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(len(d.pending), maxDelivery)
	keys := d.pending[:n]
	d.pending = d.pending[n:]
	return keys
}

// isPassedOver reports whether a writer did not answer this instance a short time ago.
func (r *Registry) isPassedOver(i roster.Instance) bool {
	r.delivery.mu.Lock()
	defer r.delivery.mu.Unlock()
	return r.Now() < r.delivery.passedOver[i.Fingerprint]
}

// passOver notes that a writer did not answer.
func (r *Registry) passOver(i roster.Instance) {
	now := r.Now()
	r.delivery.mu.Lock()
	defer r.delivery.mu.Unlock()
	for fingerprint, until := range r.delivery.passedOver {
		if now >= until {
			delete(r.delivery.passedOver, fingerprint)
		}
	}
	r.delivery.passedOver[i.Fingerprint] = now.Add(passOverTime)
	r.Scope.Counter("stream_writers_passed_over").Inc(1)
}

// deliverAll delivers records until ctx ends.
func (r *Registry) deliverAll(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.delivery.wake:
		}
		for keys := r.delivery.take(); len(keys) > 0 && ctx.Err() == nil; keys = r.delivery.take() {
			r.delivery.add(r.deliver(ctx, keys)...)
		}
	}
}

// deliver brings records to their writers and returns the keys of those that none has taken. They
// are for other writers then, at last for this instance.
func (r *Registry) deliver(ctx context.Context, keys []uint64) (left []uint64) {
	list := r.writers()
	taken := map[uint64]bool{}
	batches := map[string][]recordMessage{} // by the name of the writer
	for _, key := range keys {
		m, known := r.message(key)
		if !known {
			taken[key] = true
			continue
		}
		others, self := r.writersOf(list, key)
		if self {
			r.Archive(m.archived())
			taken[key] = true
		}
		for _, i := range others {
			batches[i.Name] = append(batches[i.Name], m)
		}
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, i := range list {
		batch := batches[i.Name]
		if len(batch) == 0 {
			continue
		}
		calls.Go(func() {
			if !r.deliverTo(ctx, i, batch) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, m := range batch {
				taken[m.Key] = true
			}
		})
	}
	calls.Wait()
	for _, key := range keys {
		if !taken[key] {
			left = append(left, key)
		}
	}
	return left
}

// deliverTo brings records to a writer and reports whether it has taken them.
func (r *Registry) deliverTo(ctx context.Context, i roster.Instance, batch []recordMessage) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := peer.Call[archiveRequest, archiveReply](ctx, r.Transport, i.Address, topicArchive, archiveRequest{batch})
	if err != nil || !a.Taken {
		r.passOver(i)
		return false
	}
	return true
}
