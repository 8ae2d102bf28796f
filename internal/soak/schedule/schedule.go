// Package schedule draws what happens in one run from its seed: faults that
// come in series and overlap, between them planned work.
package schedule

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a step.
type Kind string

// Steps that strike instances.
const (
	Kill    Kind = "kill"     // one is killed
	KillAll Kind = "kill_all" // all are killed at the same moment
	Pause   Kind = "pause"    // one is frozen
	Stop    Kind = "stop"     // one is stopped in order
	Roll    Kind = "roll"     // those of a zone are, one after the other
	Hangup  Kind = "hangup"   // one's settings change, with or without a signal
)

// Steps that strike the ways between instances.
const (
	PeersCut    Kind = "peers_cut"     // one hears nobody
	PeersOneWay Kind = "peers_one_way" // one hears, and is not heard
	PeersLossy  Kind = "peers_lossy"   // datagrams are lost
	ZoneCut     Kind = "zone_cut"      // a zone is cut from the others and the store
)

// Steps that strike the store.
const (
	DoorFault   Kind = "door_fault"   // it fails one instance
	StoreFault  Kind = "store_fault"  // it fails all
	StoreSlow   Kind = "store_slow"   // it answers late
	StoreForget Kind = "store_forget" // its history is lost
	Lapse       Kind = "lapse"        // it is away, and entries are gone until after its return
)

// Steps that strike endpoints.
const (
	Crash     Kind = "crash"     // one goes without a word and comes back as another one
	Reuse     Kind = "reuse"     // the same, and its address is given to another service
	Retire    Kind = "retire"    // one says that it leaves, and leaves
	Vanish    Kind = "vanish"    // one leaves without saying so
	Misbehave Kind = "misbehave" // one answers badly
	LinkBad   Kind = "link_bad"  // the way to one is bad
)

// Steps of the operators.
const (
	Configure      Kind = "configure"
	ConfigureStorm Kind = "configure_storm"
)

// Steps that come beside those drawn by weight.
const (
	Poison  Kind = "poison"  // a request comes again and again that ends whatever engine runs it
	Suspend Kind = "suspend" // one's machine is suspended: its steady clock stands still
	// An endpoint's answers say that it leaves, while its entry tells nothing of that.
	Announce Kind = "announce"
	// An endpoint turns everything away and wants nothing for a while.
	Rest Kind = "rest"
	// An endpoint names how many requests a second it takes from all instances.
	Limit Kind = "limit"
	// A zone is evacuated, and used again later.
	Evacuate Kind = "evacuate"
	// An endpoint is cold for a while.
	Chill Kind = "chill"
)

// weights say how often each kind comes.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4},
	{KillAll, 1},
	{Pause, 3},
	{Stop, 4},
	{Roll, 1},
	{Hangup, 1},
	{PeersCut, 2},
	{PeersOneWay, 2},
	{PeersLossy, 2},
	{ZoneCut, 2},
	{DoorFault, 5},
	{StoreFault, 4},
	{StoreSlow, 1},
	{StoreForget, 2},
	{Lapse, 1},
	{Crash, 4},
	{Reuse, 1},
	{Retire, 4},
	{Vanish, 2},
	{Misbehave, 7},
	{LinkBad, 6},
	{Configure, 4},
	{ConfigureStorm, 1},
}

// Step is one thing that happens.
type Step struct {
	At     time.Duration // from the start of the run
	For    time.Duration
	Kind   Kind
	Target int // which instance, zone or endpoint, modulo how many there are
	How    int // which variant, modulo how many there are
}

const (
	// quiet is the time without faults at the start; it lets a fleet form.
	quiet = 1500 * time.Millisecond
	// gapMean is the mean time between two steps; faultMost bounds one's length.
	gapMean   = 900 * time.Millisecond
	moreGap   = 5 * time.Second // the same, of the steps of More
	faultMost = 4500 * time.Millisecond
	// seriesShare of the steps are followed by the same kind again.
	seriesShare = 0.25
)

// beside are the streams of steps that come beside those of New, in the order in which
// they were added, each with kinds of its own, so that a seed's other steps are what they
// were before there were these.
var beside = []struct {
	stream uint64
	kinds  []Kind
}{
	{0xd1b54a32d192ed03, []Kind{Suspend, Poison}},
	{0xaef17502108ef2d9, []Kind{Announce, Rest}},
	{0x94d049bb133111eb, []Kind{Limit}},
	{0xbf58476d1ce4e5b9, []Kind{Evacuate, Chill}},
}

// More draws the steps of a run that come beside those of New.
func More(seed uint64, length time.Duration) []Step {
	var steps []Step
	for _, b := range beside {
		steps = Join(steps, drawBeside(seed, b.stream, length, b.kinds))
	}
	return steps
}

// IsBeside says whether a kind is drawn by More.
func IsBeside(k Kind) bool {
	for _, b := range beside {
		if slices.Contains(b.kinds, k) {
			return true
		}
	}
	return false
}

func drawBeside(seed, stream uint64, length time.Duration, kinds []Kind) []Step {
	r := rand.New(rand.NewPCG(seed, stream)) //nolint:gosec // a schedule needs no secrecy
	var steps []Step
	for at := quiet; at < length; at += time.Duration(r.ExpFloat64() * float64(moreGap)) {
		kind := kinds[r.IntN(len(kinds))]
		steps = append(steps, Step{
			At: at, For: faultMost/10 + time.Duration(r.Float64()*float64(faultMost)*0.9),
			Kind: kind, Target: r.IntN(1 << 16), How: r.IntN(1 << 16),
		})
	}
	return steps
}

// Join returns the steps of two lists in the order of their times.
func Join(a, b []Step) []Step {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(a, b Step) int { return int(a.At - b.At) })
	return all
}

// New draws the steps of a run of so long, in the order of their times; only, if
// not empty, is the kind of all of them.
func New(seed uint64, length time.Duration, only Kind) []Step {
	r := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)) //nolint:gosec // a schedule needs no secrecy
	var steps []Step
	draw := drawWeighted
	kind := draw(r)
	if only != "" {
		draw = func(*rand.Rand) Kind { return only }
		kind = only
	}
	for at := quiet; at < length; at += time.Duration(r.ExpFloat64() * float64(gapMean)) {
		steps = append(steps, Step{
			At: at, For: faultMost/10 + time.Duration(r.Float64()*float64(faultMost)*0.9),
			Kind: kind, Target: r.IntN(1 << 16), How: r.IntN(1 << 16),
		})
		if r.Float64() > seriesShare {
			kind = draw(r)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// drawWeighted draws a kind by the weights.
func drawWeighted(r *rand.Rand) Kind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := r.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return Kill
}
