package grant

import (
	"container/list"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// defaultBlocks bounds the known blocks before the engine has reported its memory.
const defaultBlocks = 4096

// cache is what the scheduler believes to be in the engine's prefix cache. Blocks enter with the own grants
// as well as with events and leave by events, by misses that answers show and by age.
type cache struct {
	blocks   map[uint64]*list.Element
	order    list.List // least recently used first
	capacity int
	epoch    uint64
	tokens   int64 // per block, from the last ask that told
}

// Cached takes in cache events, which may be late and incomplete.
func (s *Scheduler) Cached(now time.Time, events engineapi.CacheEvents) {
	s.advance(now)
	if events.Epoch < s.cache.epoch {
		return
	}
	if events.Epoch > s.cache.epoch {
		s.cache.clear()
		s.cache.epoch = events.Epoch
	}
	for _, e := range events.Events {
		if e.Stored {
			s.cache.touch(e.Block)
		} else {
			s.cache.remove(e.Block)
		}
	}
}

// cached is the number of leading prompt tokens that the engine probably has in its cache.
func (s *Scheduler) cached(ask protocol.Ask) int64 {
	n := s.cache.match(ask.Blocks)
	return min(int64(n)*ask.BlockTokens, ask.PromptTokens)
}

func (s *Scheduler) blockCapacity() int {
	size := s.load.KVBytesPerToken * s.cache.tokens
	if size <= 0 {
		return defaultBlocks
	}
	return int(s.load.MemoryBytes / size)
}

func (c *cache) match(blocks []uint64) int {
	for n, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return n
		}
	}
	return len(blocks)
}

// learn notes the size of a block, which bounds how many fit the engine's memory.
func (c *cache) learn(tokens int64) {
	if tokens > 0 {
		c.tokens = tokens
	}
}

func (c *cache) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i])
	}
}

func (c *cache) touch(block uint64) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToBack(e)
		return
	}
	c.blocks[block] = c.order.PushBack(block)
	c.trim()
}

func (c *cache) remove(block uint64) {
	if e, ok := c.blocks[block]; ok {
		c.order.Remove(e)
		delete(c.blocks, block)
	}
}

func (c *cache) resize(capacity int) {
	c.capacity = capacity
	c.trim()
}

func (c *cache) trim() {
	limit := c.capacity
	if limit <= 0 {
		limit = defaultBlocks
	}
	for len(c.blocks) > limit {
		c.remove(c.order.Front().Value.(uint64))
	}
}

func (c *cache) clear() {
	c.blocks = nil
	c.order.Init()
}
