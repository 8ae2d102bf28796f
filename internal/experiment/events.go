package experiment

import (
	"container/heap"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// event is something that happens at a moment.
type event struct {
	at  clock.Millis
	seq int // events of one moment happen in the order in which they were made
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.made++
	heap.Push(&w.events, event{at: w.now.Add(max(d, time.Millisecond)), seq: w.made, do: do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}
