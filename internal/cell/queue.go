package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// shareWindow is the time constant with which the granted work of classes
// decays.
const shareWindow = 10 * time.Second

// waiting is an attempt in the queue.
type waiting struct {
	request  AttemptRequest
	rank     int
	weight   float64 // of the workspace
	cost     float64 // weight of the kind times the predicted work
	share    float64 // minimum share of the class
	tbt      time.Duration
	since    clock.Millis
	deadline clock.Millis // for the first token
}

// queue orders waiting attempts: first classes below their minimum share, then
// by rank, then by weighted fair queuing between workspaces, then by deadline.
type queue struct {
	items       []*waiting
	virtualTime map[string]float64 // granted work divided by weight, by workspace
	grantedWork map[string]float64 // granted work, decayed, by class
	decayedAt   clock.Millis
}

func newQueue() queue {
	return queue{virtualTime: map[string]float64{}, grantedWork: map[string]float64{}}
}

func (q *queue) add(w *waiting) {
	q.syncVirtualTime(w)
	q.items = append(q.items, w)
}

// syncVirtualTime moves the virtual time of a workspace that was idle up to the
// lowest one in the queue, so that idle time earns no credit.
func (q *queue) syncVirtualTime(w *waiting) {
	least := math.Inf(1)
	for _, other := range q.items {
		if other.request.Workspace == w.request.Workspace {
			return
		}
		least = min(least, q.virtualTime[other.request.Workspace])
	}
	if !math.IsInf(least, 1) {
		q.virtualTime[w.request.Workspace] = max(q.virtualTime[w.request.Workspace], least)
	}
}

func (q *queue) find(id AttemptID) *waiting {
	for _, w := range q.items {
		if w.request.Attempt == id {
			return w
		}
	}
	return nil
}

func (q *queue) remove(id AttemptID) bool {
	n := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(w *waiting) bool { return w.request.Attempt == id })
	return len(q.items) < n
}

// charge adds granted work to the workspace's virtual time and the class's
// share.
func (q *queue) charge(now clock.Millis, w *waiting) {
	if len(q.items) == 0 {
		clear(q.virtualTime) // without competing requests no workspace is ahead or behind
	}
	q.virtualTime[w.request.Workspace] += w.cost / w.weight
	decay := math.Exp(-float64(now.Sub(q.decayedAt)) / float64(shareWindow))
	for class := range q.grantedWork {
		q.grantedWork[class] *= decay
	}
	q.decayedAt = now
	q.grantedWork[w.request.Class] += w.cost
}

// sort sorts the queue into the order of service.
func (q *queue) sort() {
	total := 0.0
	for _, g := range q.grantedWork {
		total += g
	}
	slices.SortStableFunc(q.items, func(a, b *waiting) int { return q.compare(a, b, total) })
}

func (q *queue) compare(a, b *waiting, total float64) int {
	if c := cmp.Compare(q.effectiveRank(a, total), q.effectiveRank(b, total)); c != 0 {
		return c
	}
	if c := cmp.Compare(q.virtualTime[a.request.Workspace], q.virtualTime[b.request.Workspace]); c != 0 {
		return c
	}
	return cmp.Compare(a.deadline, b.deadline)
}

// effectiveRank returns the rank of the class, or -1, ahead of all others, while
// the class is below its minimum share.
func (q *queue) effectiveRank(w *waiting, total float64) int {
	if w.share > 0 && total > 0 && q.grantedWork[w.request.Class] < w.share*total {
		return -1
	}
	return w.rank
}
