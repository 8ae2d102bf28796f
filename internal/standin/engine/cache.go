package engine

import (
	"container/list"

	"github.com/trailshed/trailshed/internal/endpoint"
)

// blockTokens is the number of tokens in a prefix block.
const blockTokens = 64

// maxEvents is how many of the latest events are kept for readers.
const maxEvents = 4096

// cache is a prefix cache of limited size that publishes events and loses some of
// them.
type cache struct {
	limit        int
	lossInterval int
	lru          *list.List // least recently used first; values are blocks
	blocks       map[uint64]*list.Element
	sequence     int64
	events       []endpoint.CacheEvent
}

func newCache(limit, lossInterval int) cache {
	return cache{limit: limit, lossInterval: lossInterval, lru: list.New(), blocks: map[uint64]*list.Element{}}
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

// add inserts blocks or marks them as most recently used, and evicts the least
// recently used ones over the limit.
func (c *cache) add(blocks []uint64) {
	for _, b := range blocks {
		if el, ok := c.blocks[b]; ok {
			c.lru.MoveToBack(el)
			continue
		}
		c.blocks[b] = c.lru.PushBack(b)
		c.publish(b, false)
	}
	for len(c.blocks) > c.limit {
		oldest := c.lru.Front()
		b, _ := c.lru.Remove(oldest).(uint64)
		delete(c.blocks, b)
		c.publish(b, true)
	}
}

// publish adds an event, except that every lossInterval-th is lost, which leaves a
// gap in the sequence.
func (c *cache) publish(b uint64, removed bool) {
	c.sequence++
	if c.lossInterval > 0 && c.sequence%int64(c.lossInterval) == 0 {
		return
	}
	c.events = append(c.events, endpoint.CacheEvent{Sequence: c.sequence, Block: b, Removed: removed})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the kept events with a sequence number above after.
func (c *cache) since(after int64) []endpoint.CacheEvent {
	found := []endpoint.CacheEvent{}
	for _, ev := range c.events {
		if ev.Sequence > after {
			found = append(found, ev)
		}
	}
	return found
}
