package intake_test

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/intake"
	"github.com/trailshed/trailshed/internal/lateness"
	"github.com/trailshed/trailshed/pkg/clock"
)

// policy decides which connections are read. delay is how long the goroutine of a connection waited
// for the processor; waiting is the number of connections that still do.
type policy struct {
	name string
	read func(now clock.Millis, delay time.Duration, waiting int) bool
}

func policies() []policy {
	limit, waits := &intake.Limit{}, &lateness.Meter{}
	return []policy{
		{"all", func(clock.Millis, time.Duration, int) bool { return true }},
		{"30 waiting at most", func(_ clock.Millis, _ time.Duration, waiting int) bool { return waiting < 30 }},
		{"none that is late", func(_ clock.Millis, delay time.Duration, _ int) bool { return delay <= 120*time.Millisecond }},
		{"limit", func(now clock.Millis, delay time.Duration, _ int) bool {
			waits.Record(now, delay)
			limit.Update(now, intake.Waits{Processor: waits.Standing(now)}, 0)
			return !limit.Late(now, delay)
		}},
	}
}

// load is what one instance gets: requests at its usual rate, and floods while most new connections of
// its zone come to it.
type load struct {
	name         string
	usual, flood float64       // requests a second
	work         time.Duration // processor time of a request, at the instance's share of a core
	length       time.Duration // of the flood; floodLength if 0
	quota        bool          // the share is a quota: nothing runs in the last third of each 100 ms
}

const (
	floodBegins = 5 * time.Second
	floodLength = 10 * time.Second
	loadEnds    = 20 * time.Second
	contactTime = 3 * time.Second
	// A request that waited longer than patience for the processor misses its target.
	patience = 500 * time.Millisecond
	// A connection that is accepted and closed costs an acceptWork-th of the work of a request.
	acceptWork = 20
)

// play returns the share of the requests read that are served in time before the flood and from
// contactTime after its begin to its end, and the requests read a second then.
func (l load) play(p policy, seed uint64) (before, during, read float64) {
	type arrival struct {
		at   clock.Millis
		late bool
	}
	floodEnds := floodBegins + cmp.Or(l.length, floodLength)
	draw := rand.New(rand.NewPCG(seed, 3))
	var queue []arrival
	var reads, served [2]float64
	busy := 0.0 // processor time owed, in ms
	for now := clock.Millis(1); now < clock.Millis(loadEnds.Milliseconds()); now++ {
		at := time.Duration(now) * time.Millisecond
		rate := l.usual
		if at >= floodBegins && at < floodEnds {
			rate = l.flood
		}
		for n := rate / 1000; draw.Float64() < n; n-- {
			queue = append(queue, arrival{now, at >= floodBegins+min(contactTime, floodEnds-floodBegins) && at < floodBegins+floodLength})
		}
		if l.quota && now%100 >= 67 {
			continue
		}
		for busy = max(busy-1, 0); busy < 1 && len(queue) > 0; queue = queue[1:] {
			a := queue[0]
			delay := now.Sub(a.at)
			if !p.read(now, delay, len(queue)) {
				busy += clock.InMillis(l.work) / acceptWork
				continue
			}
			busy += clock.InMillis(l.work)
			phase := -1
			switch {
			case a.late:
				phase = 1
			case at < floodBegins:
				phase = 0
			}
			if phase < 0 {
				continue
			}
			reads[phase]++
			if delay <= patience {
				served[phase]++
			}
		}
	}
	return served[0] / max(reads[0], 1), served[1] / max(reads[1], 1), reads[1] / (floodLength - contactTime).Seconds()
}

// capacity returns the requests a second that can be read during the flood, while the other connections
// are closed. It is 0 for a flood that is over before.
func (l load) capacity() float64 {
	if l.length > 0 {
		return 0
	}
	work, share := clock.InMillis(l.work)/1000, 1.0
	if l.quota {
		share = 0.67
	}
	return min(l.flood, (share-l.flood*work/acceptWork)/(work-work/acceptWork))
}

// Load: most new connections of a zone come to one instance for ten seconds. The users' bound: from
// contactTime on, the requests that the instance reads are served three quarters as often as before. What
// its processor can serve it goes on to serve.
func TestFloodOfConnections(t *testing.T) {
	loads := []load{
		{name: "6 instances, within its share", usual: 20, flood: 90, work: 4 * time.Millisecond},
		{name: "24 instances, twice its share", usual: 20, flood: 500, work: 4 * time.Millisecond},
		{name: "61 instances, 4 times its share", usual: 20, flood: 800, work: 5 * time.Millisecond},
		{name: "300 instances, 10 times its share", usual: 20, flood: 900, work: 12 * time.Millisecond},
		{name: "a quota, 3 times its share", usual: 20, flood: 400, work: 5 * time.Millisecond, quota: true},
		{name: "a burst of a second, twice its share", usual: 20, flood: 500, work: 4 * time.Millisecond, length: time.Second},
		{name: "a quota, no flood", usual: 60, flood: 60, work: 5 * time.Millisecond, quota: true},
	}
	const seeds = 10
	for _, l := range loads {
		for i := range policies() {
			least, reads, name := 1.0, 0.0, ""
			for seed := range uint64(seeds) {
				p := policies()[i]
				before, during, read := l.play(p, seed)
				name = p.name
				least, reads = min(least, during/before), reads+read/seeds
			}
			t.Logf("%-36s %-20s served as often as before, least of %d: %.2f; reads %.0f a second", l.name, name, seeds, least, reads)
			if name != "limit" {
				continue
			}
			qt.Check(t, least >= 0.75, qt.IsTrue, qt.Commentf("%s: served %.2f as often as before", l.name, least))
			qt.Check(t, reads >= 0.9*l.capacity(), qt.IsTrue, qt.Commentf("%s: reads %.0f a second of %.0f", l.name, reads, l.capacity()))
		}
	}
}
