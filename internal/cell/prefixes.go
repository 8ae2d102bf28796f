package cell

import (
	"container/list"

	"github.com/trailshed/trailshed/internal/endpoint"
)

const (
	blockTokens   = 64
	prefixesLimit = 4096 // blocks remembered for an endpoint
	gapDistrust   = 0.5  // what trust is left after a gap in the events
)

// prefixes is what is believed to be in an endpoint's prefix cache. Events come
// late and with gaps, so a belief counts only as far as it has proved right.
type prefixes struct {
	order    *list.List // least recently used first
	blocks   map[uint64]*list.Element
	sequence int64
	trust    float64 // measured part of the expected cached tokens
}

func newPrefixes() prefixes {
	return prefixes{order: list.New(), blocks: map[uint64]*list.Element{}, trust: 1}
}

// expect returns how many of a prompt's tokens are likely cached.
func (p *prefixes) expect(blocks []uint64, tokens int) int {
	n := 0
	for _, b := range blocks {
		if _, ok := p.blocks[b]; !ok {
			break
		}
		n++
	}
	return int(p.trust * float64(min(n*blockTokens, tokens)))
}

// learn compares what was expected with what was found.
func (p *prefixes) learn(expected, found int) {
	if expected <= 0 {
		return
	}
	right := min(float64(found)/float64(expected), 1)
	p.trust += learning * (right - p.trust)
}

func (p *prefixes) add(blocks ...uint64) {
	for _, b := range blocks {
		if el, ok := p.blocks[b]; ok {
			p.order.MoveToBack(el)
			continue
		}
		p.blocks[b] = p.order.PushBack(b)
	}
	for len(p.blocks) > prefixesLimit {
		b, _ := p.order.Remove(p.order.Front()).(uint64)
		delete(p.blocks, b)
	}
}

func (p *prefixes) remove(b uint64) {
	if el, ok := p.blocks[b]; ok {
		p.order.Remove(el)
		delete(p.blocks, b)
	}
}

// take applies events and distrusts the whole after a gap.
func (p *prefixes) take(events []endpoint.CacheEvent) {
	for _, e := range events {
		if e.Sequence <= p.sequence {
			continue
		}
		if p.sequence > 0 && e.Sequence > p.sequence+1 {
			p.trust *= gapDistrust
		}
		p.sequence = e.Sequence
		if e.Removed {
			p.remove(e.Block)
		} else {
			p.add(e.Block)
		}
	}
}
