package quarantine

import (
	"hash/maphash"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// generationInterval is the time after which a generation is replaced. A completion is
	// remembered for at least this long and at most twice as long, unless a generation
	// fills up earlier.
	generationInterval = time.Minute
	// maxGeneration bounds each of the two generations: one minute of requests at 34 a
	// second, about 40 kB.
	maxGeneration = 2048
)

// completions remembers the requests that ran to completion recently, by a hash that is
// seeded per process, so that no caller can construct a request that collides with one.
type completions struct {
	seed     maphash.Seed
	rotated  clock.Millis
	current  map[uint64]struct{}
	previous map[uint64]struct{}
}

func newCompletions() *completions {
	return &completions{seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

func (v *completions) add(now clock.Millis, w Work) {
	v.rotate(now)
	v.current[v.sum(w)] = struct{}{}
}

func (v *completions) has(now clock.Millis, w Work) bool {
	v.rotate(now)
	sum := v.sum(w)
	_, inCurrent := v.current[sum]
	_, inPrevious := v.previous[sum]
	return inCurrent || inPrevious
}

// rotate begins a new generation if the current one is too old or full.
func (v *completions) rotate(now clock.Millis) {
	if now.Sub(v.rotated) < generationInterval && len(v.current) < maxGeneration {
		return
	}
	v.previous = v.current
	if now.Sub(v.rotated) >= 2*generationInterval {
		v.previous = nil
	}
	v.current, v.rotated = map[uint64]struct{}{}, now
}

func (v *completions) sum(w Work) uint64 {
	var h maphash.Hash
	h.SetSeed(v.seed)
	for _, part := range []string{w.Workspace, w.Method, w.Host, w.Target} {
		_, _ = h.WriteString(part) // never fails
		_ = h.WriteByte(0)         // separator; no part contains a zero byte
	}
	_, _ = h.Write(w.Body)
	return h.Sum64()
}
