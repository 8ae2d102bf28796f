package quarantine

import (
	"hash/maphash"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// vouchedFor is how long it is remembered, at least, that a request ran to its
	// end; at most it is twice that.
	vouchedFor = time.Minute
	// vouchedMost bounds each of the two generations: the requests of a minute at 34
	// a second, about 40 kB.
	vouchedMost = 2048
)

// vouched are the requests that ran to their end lately, by a hash that is seeded
// in each process, so that no caller can make another request look like one.
type vouched struct {
	seed    maphash.Seed
	turned  clock.Millis
	younger map[uint64]struct{}
	older   map[uint64]struct{}
}

func newVouched() *vouched {
	return &vouched{seed: maphash.MakeSeed(), younger: map[uint64]struct{}{}}
}

func (v *vouched) add(now clock.Millis, w Work) {
	v.turn(now)
	v.younger[v.sum(w)] = struct{}{}
}

func (v *vouched) has(now clock.Millis, w Work) bool {
	v.turn(now)
	sum := v.sum(w)
	_, young := v.younger[sum]
	_, old := v.older[sum]
	return young || old
}

// turn begins a new generation when the younger one is old or full.
func (v *vouched) turn(now clock.Millis) {
	if now.Sub(v.turned) < vouchedFor && len(v.younger) < vouchedMost {
		return
	}
	v.older = v.younger
	if now.Sub(v.turned) >= 2*vouchedFor {
		v.older = nil
	}
	v.younger, v.turned = map[uint64]struct{}{}, now
}

func (v *vouched) sum(w Work) uint64 {
	var h maphash.Hash
	h.SetSeed(v.seed)
	for _, part := range []string{w.Workspace, w.Method, w.Host, w.Target} {
		_, _ = h.WriteString(part) // it never fails
		_ = h.WriteByte(0)         // no part holds one
	}
	_, _ = h.Write(w.Body)
	return h.Sum64()
}
