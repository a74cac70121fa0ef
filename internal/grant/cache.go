package grant

import (
	"container/list"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// defaultBlockCapacity limits the number of known blocks until the engine has reported its memory and a request the
// size of its blocks.
const defaultBlockCapacity = 4096

// cache holds the blocks that the scheduler assumes to be in the engine's prefix cache. Blocks are added when a granted
// prompt has been prefilled and by cache events. They are removed by cache events, when the engine's epoch changes and,
// least recently used first, when they exceed the capacity.
type cache struct {
	blocks      map[uint64]*list.Element
	order       list.List // least recently used first
	capacity    int       // maximum number of blocks; 0 means defaultBlockCapacity
	epoch       uint64    // of the engine process that sent the last events
	blockTokens int64     // prompt tokens per block, from the last granted request that names them
}

// ApplyCacheEvents applies the engine's cache events, which may be late and incomplete. Events of an older epoch are
// ignored; a newer epoch clears the cache first.
func (s *Scheduler) ApplyCacheEvents(now time.Time, events engineapi.CacheEvents) {
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

// cachedTokens returns the number of leading prompt tokens that the engine probably has in its prefix cache.
func (s *Scheduler) cachedTokens(req protocol.GrantRequest) int64 {
	n := s.cache.match(req.Blocks)
	return min(int64(n)*req.BlockTokens, req.PromptTokens)
}

// blockCapacity returns how many blocks fit into the engine's memory.
func (s *Scheduler) blockCapacity() int {
	size := s.load.KVBytesPerToken * s.cache.blockTokens
	if size <= 0 {
		return defaultBlockCapacity
	}
	return int(s.load.MemoryBytes / size)
}

// match returns the number of leading blocks that are in the cache.
func (c *cache) match(blocks []uint64) int {
	for n, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return n
		}
	}
	return len(blocks)
}

// setBlockTokens records the size of a block, which determines how many fit into the engine's memory; 0 keeps the last.
func (c *cache) setBlockTokens(tokens int64) {
	if tokens > 0 {
		c.blockTokens = tokens
	}
}

// store adds the blocks of a prompt, the last one first, so that the end of a prefix is evicted before its beginning.
func (c *cache) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i])
	}
}

// touch makes a block the most recently used one and adds it if it is not in the cache.
func (c *cache) touch(block uint64) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToBack(e)
		return
	}
	c.blocks[block] = c.order.PushBack(block)
	c.evict()
}

func (c *cache) remove(block uint64) {
	if e, ok := c.blocks[block]; ok {
		c.order.Remove(e)
		delete(c.blocks, block)
	}
}

func (c *cache) resize(capacity int) {
	c.capacity = capacity
	c.evict()
}

// evict removes the least recently used blocks until the rest fits the capacity.
func (c *cache) evict() {
	limit := c.capacity
	if limit <= 0 {
		limit = defaultBlockCapacity
	}
	for len(c.blocks) > limit {
		c.remove(c.order.Front().Value.(uint64))
	}
}

func (c *cache) clear() {
	c.blocks = nil
	c.order.Init()
}
