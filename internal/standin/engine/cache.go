package engine

import (
	"container/list"

	"github.com/trailshed/trailshed/internal/endpoint"
)

// blockTokens is the number of tokens in a prefix block.
const blockTokens = 64

// eventsKept bounds the events that a reader can still ask for.
const eventsKept = 4096

// cache is a prefix cache of limited memory that publishes events with gaps.
type cache struct {
	limit    int
	gap      int
	order    *list.List // least recently used first; values are blocks
	blocks   map[uint64]*list.Element
	sequence int64
	events   []endpoint.CacheEvent
}

func newCache(limit, gap int) cache {
	return cache{limit: limit, gap: gap, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are cached.
func (c *cache) match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (c *cache) add(blocks []uint64) {
	for _, b := range blocks {
		if el, ok := c.blocks[b]; ok {
			c.order.MoveToBack(el)
			continue
		}
		c.blocks[b] = c.order.PushBack(b)
		c.publish(b, false)
	}
	for len(c.blocks) > c.limit {
		oldest := c.order.Front()
		b, _ := c.order.Remove(oldest).(uint64)
		delete(c.blocks, b)
		c.publish(b, true)
	}
}

// publish loses one event in so many, leaving a gap in the sequence.
func (c *cache) publish(b uint64, removed bool) {
	c.sequence++
	if c.gap > 0 && c.sequence%int64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, endpoint.CacheEvent{Sequence: c.sequence, Block: b, Removed: removed})
	if len(c.events) > eventsKept {
		c.events = c.events[len(c.events)-eventsKept:]
	}
}

func (c *cache) since(after int64) []endpoint.CacheEvent {
	found := []endpoint.CacheEvent{}
	for _, ev := range c.events {
		if ev.Sequence > after {
			found = append(found, ev)
		}
	}
	return found
}
