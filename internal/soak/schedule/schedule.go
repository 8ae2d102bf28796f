// Package schedule draws the steps of a run from its seed: faults, some of them repeated,
// that may overlap, and planned operations such as stops and configuration changes.
package schedule

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind identifies what a step does.
type Kind string

// Steps that affect instances.
const (
	Kill           Kind = "kill"     // kills an instance
	KillAll        Kind = "kill_all" // kills all instances at the same moment
	Pause          Kind = "pause"    // stops the process of an instance by SIGSTOP for a time
	StopOne        Kind = "stop_one" // stops an instance by SIGTERM
	Roll           Kind = "roll"     // stops the instances of a zone one after the other
	ChangeSettings Kind = "hangup"   // changes the settings of an instance, with or without SIGHUP
)

// Steps that affect the connections between instances.
const (
	PeersCut    Kind = "peers_cut"     // an instance neither receives nor sends
	PeersOneWay Kind = "peers_one_way" // an instance only receives or only sends
	PeersLossy  Kind = "peers_lossy"   // an instance's datagrams are partly lost
	ZoneCut     Kind = "zone_cut"      // a zone is cut off from other zones and the store
)

// Steps that affect the store.
const (
	InstanceStoreFault Kind = "door_fault"   // the store fails one instance
	StoreFault         Kind = "store_fault"  // the store fails all instances
	StoreSlow          Kind = "store_slow"   // the store answers late
	StoreForget        Kind = "store_forget" // the store loses its history
	ExpireEntries      Kind = "lapse"        // the store is unavailable; entries of endpoints expire until shortly after its return
)

// Steps that affect endpoints.
const (
	Crash     Kind = "crash"     // an endpoint ends without announcement and is replaced
	Reuse     Kind = "reuse"     // like Crash, and another service gets the endpoint's address
	Retire    Kind = "retire"    // an endpoint announces in its entry that it leaves, and leaves
	Vanish    Kind = "vanish"    // an endpoint removes its entry and leaves
	Misbehave Kind = "misbehave" // an endpoint answers incorrectly or slowly
	LinkFault Kind = "link_bad"  // the link to an endpoint is faulty
)

// Steps of the operators.
const (
	Configure      Kind = "configure"       // stores a configuration
	ConfigureStorm Kind = "configure_storm" // stores configurations in quick succession
)

// Steps drawn by Extra, independently of those drawn by weight.
const (
	Poison  Kind = "poison"  // repeats a request that crashes every engine that runs it
	Suspend Kind = "suspend" // suspends an instance's machine: its monotonic clock stops
	// An endpoint announces in its answers, but not yet in its entry, that it leaves.
	Announce Kind = "announce"
	// An endpoint rejects all requests and asks for a backoff.
	Backoff Kind = "rest"
	// An endpoint names a limit, in requests a second from all instances together.
	Limit Kind = "limit"
	// A zone is evacuated for a time.
	Evacuate Kind = "evacuate"
	// An endpoint is cold for a time.
	Cold Kind = "chill"
	// Instances lose their own connections to all endpoints.
	Unlink Kind = "unlink"
	// Half of the engines are replaced, one after the other, by another software version.
	Release Kind = "release"
	// The store comes back from a copy some seconds old.
	Restore Kind = "restore"
	// Requests with a part in their prompts that crashes engines come at any instance.
	Parts Kind = "parts"
	// A workspace sends several times what the plain service can serve.
	Flood Kind = "flood"
	// Sound endpoints fall silent and go on, beside planned operations.
	Silence Kind = "silence"
	// An instance gets into overload and out of it, while its callers keep their connections.
	Overload Kind = "overload"
	// Instances are stopped by SIGTERM, while their callers keep connections and begin requests until the exit.
	Stop Kind = "stop"
	// Endpoints give answers without end.
	Endless Kind = "endless"
	// The store fails for a moment, or watches of it go silent; seconds later an endpoint leaves and a configuration is
	// stored.
	Outage Kind = "outage"
	// Another software version is released, and instances are killed meanwhile, mostly all at once.
	Rejoin Kind = "rejoin"
	// Endpoints answer requests that they ran with 408, 429 or 503, or repeat rejections late.
	Refuse Kind = "refuse"
)

// weights are the relative frequencies of the kinds drawn by New.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4},
	{KillAll, 1},
	{Pause, 3},
	{StopOne, 4},
	{Roll, 1},
	{ChangeSettings, 1},
	{PeersCut, 2},
	{PeersOneWay, 2},
	{PeersLossy, 2},
	{ZoneCut, 2},
	{InstanceStoreFault, 5},
	{StoreFault, 4},
	{StoreSlow, 1},
	{StoreForget, 2},
	{ExpireEntries, 1},
	{Crash, 4},
	{Reuse, 1},
	{Retire, 4},
	{Vanish, 2},
	{Misbehave, 7},
	{LinkFault, 6},
	{Configure, 4},
	{ConfigureStorm, 1},
}

// Step is one fault or operation.
type Step struct {
	At       time.Duration // from the start of the run
	Duration time.Duration // duration of the fault
	Kind     Kind
	Target   int // index of the instance, zone or endpoint, modulo their number
	Variant  int // index of the variant, modulo the number of variants
}

const (
	// initialDelay is the time without faults at the start, in which the fleet forms.
	initialDelay = 1500 * time.Millisecond
	// meanGap is the mean time between two steps of New, meanExtraGap that between two
	// steps of a stream of Extra.
	meanGap      = 900 * time.Millisecond
	meanExtraGap = 5 * time.Second
	// maxDuration bounds the duration of a step.
	maxDuration = 4500 * time.Millisecond
	// repeatRatio is the fraction of steps after which the next one repeats the kind.
	repeatRatio = 0.25
	// rareShare is how many steps of a rare stream of Extra are drawn for one that is kept.
	rareShare = 16
)

// extraStreams are the streams of steps drawn by Extra. Each has its own random source and
// its own kinds. New kinds are added as a new stream at the end, so that the other steps of
// a seed do not change.
var extraStreams = []struct {
	stream uint64
	kinds  []Kind
	rare   bool // one in rareShare is kept, as its steps disturb whatever else is checked
}{
	{0xd1b54a32d192ed03, []Kind{Suspend, Poison}, false},
	{0xaef17502108ef2d9, []Kind{Announce, Backoff}, false},
	{0x94d049bb133111eb, []Kind{Limit}, false},
	{0xbf58476d1ce4e5b9, []Kind{Evacuate, Cold}, false},
	{0x2545f4914f6cdd1d, []Kind{Unlink}, false},
	{0x9fb21c651e98df25, []Kind{Release}, false},
	{0x3c79ac492ba7b653, []Kind{Restore}, false},
	{0x1d8e4e27c47d124f, []Kind{Parts}, false},
	{0xe7037ed1a0b428db, []Kind{Flood}, false},
	{0x8cb92ba72f3d8dd7, []Kind{Silence}, false},
	{0x5851f42d4c957f2d, []Kind{Overload}, false},
	{0xda942042e4dd58b5, []Kind{Stop}, false},
	{0x7fb5d329728ea185, []Kind{Endless}, false},
	{0x6c62272e07bb0142, []Kind{Outage}, false},
	{0x452821e638d01377, []Kind{Rejoin}, true},
	{0xa4093822299f31d0, []Kind{Refuse}, false},
}

// Extra draws additional steps of a run, independently of those of New. If only is not empty, it returns
// all steps of that kind and no others.
func Extra(seed uint64, length time.Duration, only Kind) []Step {
	var steps []Step
	for _, b := range extraStreams {
		drawn := drawExtra(seed, b.stream, length, b.kinds)
		steps = Merge(steps, slices.DeleteFunc(drawn, func(s Step) bool {
			if only != "" {
				return s.Kind != only
			}
			return b.rare && s.Target%rareShare != 0
		}))
	}
	return steps
}

// IsExtra reports whether a kind is drawn by Extra.
func IsExtra(k Kind) bool {
	for _, b := range extraStreams {
		if slices.Contains(b.kinds, k) {
			return true
		}
	}
	return false
}

// drawExtra draws the steps of one stream.
func drawExtra(seed, stream uint64, length time.Duration, kinds []Kind) []Step {
	r := rand.New(rand.NewPCG(seed, stream)) //nolint:gosec // schedules must be reproducible, not secret
	var steps []Step
	for at := initialDelay; at < length; at += time.Duration(r.ExpFloat64() * float64(meanExtraGap)) {
		kind := kinds[r.IntN(len(kinds))]
		steps = append(steps, Step{
			At: at, Duration: maxDuration/10 + time.Duration(r.Float64()*float64(maxDuration)*0.9),
			Kind: kind, Target: r.IntN(1 << 16), Variant: r.IntN(1 << 16),
		})
	}
	return steps
}

// Merge merges two lists of steps in the order of their times.
func Merge(a, b []Step) []Step {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(a, b Step) int { return int(a.At - b.At) })
	return all
}

// New draws the steps of a run in the order of their times; length is that of the part with
// faults. If only is not empty, all steps are of that kind.
func New(seed uint64, length time.Duration, only Kind) []Step {
	r := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)) //nolint:gosec // schedules must be reproducible, not secret
	var steps []Step
	draw := drawWeighted
	kind := draw(r)
	if only != "" {
		draw = func(*rand.Rand) Kind { return only }
		kind = only
	}
	for at := initialDelay; at < length; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		steps = append(steps, Step{
			At: at, Duration: maxDuration/10 + time.Duration(r.Float64()*float64(maxDuration)*0.9),
			Kind: kind, Target: r.IntN(1 << 16), Variant: r.IntN(1 << 16),
		})
		if r.Float64() > repeatRatio {
			kind = draw(r)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// drawWeighted draws a kind according to weights.
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
