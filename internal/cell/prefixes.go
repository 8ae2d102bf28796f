package cell

import (
	"container/list"

	"github.com/trailshed/trailshed/internal/endpoint"
)

const (
	blockTokens = 64
	maxBlocks   = 4096 // blocks kept per endpoint
	gapPenalty  = 0.5  // factor on the accuracy after a gap in the events
)

// prefixes is the known state of an endpoint's prefix cache. Events arrive late
// and with gaps, so expectations are scaled by how accurate earlier ones were.
type prefixes struct {
	order    *list.List // least recently used first
	blocks   map[uint64]*list.Element
	sequence int64
	accuracy float64 // measured fraction of the expected tokens that were cached
}

func newPrefixes() prefixes {
	return prefixes{order: list.New(), blocks: map[uint64]*list.Element{}, accuracy: 1}
}

// expectCached returns how many of a prompt's tokens are probably cached.
func (p *prefixes) expectCached(blocks []uint64, tokens int) int {
	n := 0
	for _, b := range blocks {
		if _, ok := p.blocks[b]; !ok {
			break
		}
		n++
	}
	return int(p.accuracy * float64(min(n*blockTokens, tokens)))
}

// learn updates the accuracy from the numbers of expected and cached tokens.
func (p *prefixes) learn(expected, found int) {
	if expected <= 0 {
		return
	}
	right := min(float64(found)/float64(expected), 1)
	p.accuracy += ewmaWeight * (right - p.accuracy)
}

func (p *prefixes) add(blocks ...uint64) {
	for _, b := range blocks {
		if el, ok := p.blocks[b]; ok {
			p.order.MoveToBack(el)
			continue
		}
		p.blocks[b] = p.order.PushBack(b)
	}
	for len(p.blocks) > maxBlocks {
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

// apply applies cache events and lowers the accuracy after a gap in their
// sequence.
func (p *prefixes) apply(events []endpoint.CacheEvent) {
	for _, e := range events {
		if e.Sequence <= p.sequence {
			continue
		}
		if p.sequence > 0 && e.Sequence > p.sequence+1 {
			p.accuracy *= gapPenalty
		}
		p.sequence = e.Sequence
		if e.Removed {
			p.remove(e.Block)
		} else {
			p.add(e.Block)
		}
	}
}
