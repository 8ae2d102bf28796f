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

// completions remembers the requests that ran to completion recently, or the parts of prompts on
// which answers were written, by a hash that is
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

func (c *completions) add(now clock.Millis, w Work) { c.addSum(now, c.sum(w)) }

func (c *completions) addPart(now clock.Millis, p PromptPart) { c.addSum(now, c.sumPart(p)) }

func (c *completions) addSum(now clock.Millis, sum uint64) {
	c.rotate(now)
	c.current[sum] = struct{}{}
}

func (c *completions) has(now clock.Millis, w Work) bool { return c.hasSum(now, c.sum(w)) }

func (c *completions) hasPart(now clock.Millis, p PromptPart) bool {
	return c.hasSum(now, c.sumPart(p))
}

func (c *completions) hasSum(now clock.Millis, sum uint64) bool {
	c.rotate(now)
	_, inCurrent := c.current[sum]
	_, inPrevious := c.previous[sum]
	return inCurrent || inPrevious
}

// rotate begins a new generation if the current one is too old or full.
func (c *completions) rotate(now clock.Millis) {
	if now.Sub(c.rotated) < generationInterval && len(c.current) < maxGeneration {
		return
	}
	c.previous = c.current
	if now.Sub(c.rotated) >= 2*generationInterval {
		c.previous = nil
	}
	c.current, c.rotated = map[uint64]struct{}{}, now
}

func (c *completions) sum(w Work) uint64 {
	h := c.hash(w.Workspace, w.Method, w.Host, w.Target)
	_, _ = h.Write(w.Body)
	return h.Sum64()
}

func (c *completions) sumPart(p PromptPart) uint64 {
	h := c.hash(p.Service, p.Workspace, string(p.Part))
	return h.Sum64()
}

func (c *completions) hash(texts ...string) maphash.Hash {
	var h maphash.Hash
	h.SetSeed(c.seed)
	for _, text := range texts {
		_, _ = h.WriteString(text) // never fails
		_ = h.WriteByte(0)         // separator; no text contains a zero byte
	}
	return h
}
