package batch

import "container/list"

// block is one cached prefix block.
type block struct {
	hash  uint64
	users int
	idle  *list.Element // in the list of evictable blocks while users is 0
}

// cache holds prefix blocks; blocks without users are evicted from the least recently used on.
type cache struct {
	blocks map[uint64]*block
	idle   *list.List // from least to most recently used
	pinned int64      // blocks with users
}

func (c *cache) init() {
	c.blocks = make(map[uint64]*block)
	c.idle = list.New()
}

func (c *cache) tokens(blockTokens int64) int64 { return int64(len(c.blocks)) * blockTokens }

// match counts the leading hashes that are cached.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// store adds a user to a block and the block itself where needed; false means that it was cached already.
func (c *cache) store(hash uint64) bool {
	if c.blocks[hash] != nil {
		c.pin([]uint64{hash})
		return false
	}
	c.blocks[hash] = &block{hash: hash, users: 1}
	c.pinned++
	return true
}

func (c *cache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		if b.users == 0 {
			c.idle.Remove(b.idle)
			b.idle = nil
			c.pinned++
		}
		b.users++
	}
}

// unpin gives blocks up from the last on, so that a prefix is evicted after what continues it.
func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.users--
		if b.users == 0 {
			b.idle = c.idle.PushBack(b)
			c.pinned--
		}
	}
}

func (c *cache) evict() uint64 {
	b := c.idle.Remove(c.idle.Front()).(*block)
	delete(c.blocks, b.hash)
	return b.hash
}
