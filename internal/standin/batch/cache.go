package batch

import "container/list"

// block is one block of the prefix cache.
type block struct {
	hash        uint64
	users       int           // sequences that hold the block
	listElement *list.Element // element of cache.evictable while users is 0, otherwise nil
}

// cache holds the blocks of the prefix cache. A block that a sequence holds is pinned. The other blocks can be evicted,
// least recently used first.
type cache struct {
	blocks       map[uint64]*block // by hash
	evictable    *list.List        // blocks without users, from the least to the most recently used
	pinnedBlocks int64             // number of blocks with users
}

func (c *cache) init() {
	c.blocks = make(map[uint64]*block)
	c.evictable = list.New()
}

func (c *cache) tokens(blockTokens int64) int64 { return int64(len(c.blocks)) * blockTokens }

// match returns how many of the leading hashes are cached.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// store adds a user to a block, and adds the block if it is not cached yet. It reports whether it added the block.
func (c *cache) store(hash uint64) bool {
	if c.blocks[hash] != nil {
		c.pin([]uint64{hash})
		return false
	}
	c.blocks[hash] = &block{hash: hash, users: 1}
	c.pinnedBlocks++
	return true
}

// pin adds a user to each block; all of them must be cached.
func (c *cache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		if b.users == 0 {
			c.evictable.Remove(b.listElement)
			b.listElement = nil
			c.pinnedBlocks++
		}
		b.users++
	}
}

// unpin removes a user from each block, from the last block to the first, so that a prefix is evicted after the blocks
// that continue it.
func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.users--
		if b.users == 0 {
			b.listElement = c.evictable.PushBack(b)
			c.pinnedBlocks--
		}
	}
}

// evict removes the least recently used block without users and returns its hash; there must be such a block.
func (c *cache) evict() uint64 {
	b := c.evictable.Remove(c.evictable.Front()).(*block)
	delete(c.blocks, b.hash)
	return b.hash
}
