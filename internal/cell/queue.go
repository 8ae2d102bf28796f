package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// shareWindow is the time over which a class's granted work is counted.
const shareWindow = 10 * time.Second

// waiting is an attempt in the queue.
type waiting struct {
	ask      Ask
	rank     int
	weight   float64 // of the workspace
	cost     float64 // kind's weight times its work
	share    float64 // floor of the class
	tbt      time.Duration
	since    clock.Millis
	deadline clock.Millis // for the first token
}

// queue orders waiting attempts: classes below their floor, then by rank, then
// weighted fair share between workspaces, then deadline.
type queue struct {
	items   []*waiting
	virtual map[string]float64 // work per weight granted, by workspace
	granted map[string]float64 // decayed work granted, by class
	counted clock.Millis
}

func newQueue() queue {
	return queue{virtual: map[string]float64{}, granted: map[string]float64{}}
}

func (q *queue) add(w *waiting) {
	q.join(w)
	q.items = append(q.items, w)
}

// join lets a workspace that was idle begin at the present virtual time, so
// that it neither saves up nor owes.
func (q *queue) join(w *waiting) {
	least := math.Inf(1)
	for _, other := range q.items {
		if other.ask.Workspace == w.ask.Workspace {
			return
		}
		least = min(least, q.virtual[other.ask.Workspace])
	}
	if !math.IsInf(least, 1) {
		q.virtual[w.ask.Workspace] = max(q.virtual[w.ask.Workspace], least)
	}
}

func (q *queue) find(id AttemptID) *waiting {
	for _, w := range q.items {
		if w.ask.Attempt == id {
			return w
		}
	}
	return nil
}

func (q *queue) remove(id AttemptID) bool {
	n := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(w *waiting) bool { return w.ask.Attempt == id })
	return len(q.items) < n
}

// charge counts granted work towards the shares.
func (q *queue) charge(now clock.Millis, w *waiting) {
	if len(q.items) == 0 {
		clear(q.virtual) // nobody competes, so nothing is owed
	}
	q.virtual[w.ask.Workspace] += w.cost / w.weight
	keep := math.Exp(-float64(now.Sub(q.counted)) / float64(shareWindow))
	for class := range q.granted {
		q.granted[class] *= keep
	}
	q.counted = now
	q.granted[w.ask.Class] += w.cost
}

// sort puts the queue in the order of service.
func (q *queue) sort() {
	total := 0.0
	for _, g := range q.granted {
		total += g
	}
	slices.SortStableFunc(q.items, func(a, b *waiting) int { return q.compare(a, b, total) })
}

func (q *queue) compare(a, b *waiting, total float64) int {
	if c := cmp.Compare(q.effectiveRank(a, total), q.effectiveRank(b, total)); c != 0 {
		return c
	}
	if c := cmp.Compare(q.virtual[a.ask.Workspace], q.virtual[b.ask.Workspace]); c != 0 {
		return c
	}
	return cmp.Compare(a.deadline, b.deadline)
}

// effectiveRank raises a class above all others while it is below its floor.
func (q *queue) effectiveRank(w *waiting, total float64) int {
	if w.share > 0 && total > 0 && q.granted[w.ask.Class] < w.share*total {
		return -1
	}
	return w.rank
}
