package experiment

import (
	"container/heap"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// event is an action scheduled for a moment of emulated time.
type event struct {
	at  clock.Millis
	seq int // orders events of the same moment by when they were scheduled
	do  func()
}

// events is a heap of scheduled events, the earliest first.
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

// after schedules an action. The delay is at least a millisecond, the resolution of
// emulated time.
func (s *simulation) after(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now.Add(max(d, time.Millisecond)), seq: s.scheduled, do: do})
}

// every schedules an action periodically; the first run is after one interval.
func (s *simulation) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}
