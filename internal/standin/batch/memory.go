package batch

import (
	"container/heap"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// allocation is memory held for an owner outside the prefix cache.
type allocation struct {
	id     string
	kind   string
	tokens int64
	expiry time.Time
	seq    *sequence // set for sequences and exports
	index  int       // in the heap of expiries, -1 when not in it
}

func (e *Engine) capacityTokens() int64 { return e.MemoryBytes / e.KVBytesPerToken }

// Reserve holds memory under an id until it is released or expires; repeating it extends the expiry.
// It returns an *Error when the memory is not free.
func (e *Engine) Reserve(now time.Time, id string, bytes int64, expiry time.Time) error {
	e.init()
	e.advance(now)
	if a := e.owned[id]; a != nil {
		if a.kind != engineapi.KindReservation {
			return &Error{Op: "reserve", Kind: engineapi.RefusalInvalid}
		}
		e.setExpiry(a, expiry)
		return nil
	}
	if bytes < 0 {
		return &Error{Op: "reserve", Kind: engineapi.RefusalInvalid}
	}
	tokens := (bytes + e.KVBytesPerToken - 1) / e.KVBytesPerToken
	if !e.makeRoom(tokens, now) {
		return &Error{Op: "reserve", Kind: engineapi.RefusalMemory}
	}
	e.held += tokens
	e.add(&allocation{id: id, kind: engineapi.KindReservation, tokens: tokens, expiry: expiry})
	return nil
}

// Export turns the memory of a prefill-only job that has ended into an export under a new id.
// Repeating it extends the expiry; it returns an *Error when there is no such job.
func (e *Engine) Export(now time.Time, id, exportID string, expiry time.Time) error {
	e.init()
	e.advance(now)
	if a := e.owned[exportID]; a != nil && a.kind == engineapi.KindExport {
		e.setExpiry(a, expiry)
		return nil
	}
	a := e.owned[id]
	if a == nil || a.seq == nil || !a.seq.ready || a.kind != engineapi.KindSequence {
		return &Error{Op: "export", Kind: engineapi.RefusalNotFound}
	}
	delete(e.owned, id)
	e.forget(a)
	a.id, a.kind, a.expiry = exportID, engineapi.KindExport, expiry
	e.add(a)
	return nil
}

// Release frees an allocation of any kind and returns its bytes, 0 for an unknown id.
func (e *Engine) Release(now time.Time, id string) int64 {
	e.init()
	e.advance(now)
	a := e.owned[id]
	if a == nil {
		return 0
	}
	bytes := e.bytes(a)
	e.interrupt(now)
	// The steps that were settled may have ended the job.
	if e.owned[id] == a {
		e.drop(a)
	}
	e.resume(now)
	return bytes
}

// Bytes returns the memory that an id holds, and false when it holds none.
func (e *Engine) Bytes(id string) (int64, bool) {
	a := e.owned[id]
	if a == nil {
		return 0, false
	}
	return e.bytes(a), true
}

// Each calls visit for each allocation in no particular order.
func (e *Engine) Each(visit func(id, kind string, bytes int64, expiry time.Time)) {
	for id, a := range e.owned {
		visit(id, a.kind, e.bytes(a), a.expiry)
	}
}

// bytes counts shared blocks of the prefix cache for each sequence that holds them.
func (e *Engine) bytes(a *allocation) int64 {
	tokens := a.tokens
	if a.seq != nil {
		tokens += int64(a.seq.pinned) * e.BlockTokens
	}
	return tokens * e.KVBytesPerToken
}

// makeRoom evicts cached blocks until tokens are free, or reports false without evicting in vain.
func (e *Engine) makeRoom(tokens int64, now time.Time) bool {
	capacity := e.capacityTokens()
	if e.held+e.cache.pinned*e.BlockTokens+tokens > capacity {
		return false
	}
	for e.held+e.cache.tokens(e.BlockTokens)+tokens > capacity {
		e.emit(Event{Kind: EventEvicted, At: now, Block: e.cache.evict()})
	}
	return true
}

// assign gives a waiting job its memory, or reports that there is not enough.
func (e *Engine) assign(s *sequence, now time.Time) bool {
	blocks := e.matchBlocks(s)
	e.cache.pin(s.Blocks[:blocks])
	need := s.PromptTokens - s.Imported - int64(blocks)*e.BlockTokens + s.OutputTokens
	reserved := e.owned[s.Reservation]
	if reserved != nil {
		e.held -= reserved.tokens
	}
	if !e.makeRoom(need, now) {
		e.cache.unpin(s.Blocks[:blocks])
		if reserved != nil {
			e.held += reserved.tokens
		}
		return false
	}
	if reserved != nil {
		reserved.tokens = 0
		e.drop(reserved)
	}
	e.held += need
	s.alloc.tokens = need
	s.pinned = blocks
	s.done = s.Imported + int64(blocks)*e.BlockTokens
	return true
}

// matchBlocks counts the cached leading blocks, leaving at least one token to prefill.
func (e *Engine) matchBlocks(s *sequence) int {
	if s.Imported > 0 {
		return 0
	}
	blocks := e.cache.match(s.Blocks)
	if most := (s.PromptTokens - 1) / e.BlockTokens; int64(blocks) > most {
		blocks = int(max(most, 0))
	}
	return blocks
}

// storeBlocks moves the blocks that a sequence has prefilled from its own memory into the prefix cache.
func (e *Engine) storeBlocks(s *sequence, at time.Time) {
	if s.Imported > 0 {
		return
	}
	for s.pinned < len(s.Blocks) && int64(s.pinned+1)*e.BlockTokens <= s.done {
		hash := s.Blocks[s.pinned]
		if e.cache.store(hash) {
			e.emit(Event{Kind: EventStored, At: at, Block: hash})
		}
		s.pinned++
		s.alloc.tokens -= e.BlockTokens
		e.held -= e.BlockTokens
	}
}

func (e *Engine) add(a *allocation) {
	e.owned[a.id] = a
	a.index = -1
	if !a.expiry.IsZero() {
		heap.Push(&e.expiries, a)
	}
}

func (e *Engine) forget(a *allocation) {
	if a.index >= 0 {
		heap.Remove(&e.expiries, a.index)
	}
}

func (e *Engine) setExpiry(a *allocation, expiry time.Time) {
	e.forget(a)
	a.expiry = expiry
	e.add(a)
}

// drop frees an allocation's memory; cached blocks stay in the prefix cache.
func (e *Engine) drop(a *allocation) {
	delete(e.owned, a.id)
	e.forget(a)
	e.held -= a.tokens
	a.tokens = 0
	if a.seq == nil {
		return
	}
	e.cache.unpin(a.seq.Blocks[:a.seq.pinned])
	a.seq.pinned = 0
	e.waiting = remove(e.waiting, a.seq)
	if !a.seq.ended() {
		e.running = remove(e.running, a.seq)
	}
}

// ended reports whether the sequence has left or is leaving the batch by itself.
func (s *sequence) ended() bool {
	return !s.prefilling() && (s.ready || s.output >= s.OutputTokens)
}

// expire frees an allocation whose expiry has been taken from the heap.
func (e *Engine) expire(a *allocation) {
	at := a.expiry
	a.index = -1
	e.emit(Event{Kind: EventExpired, At: at, ID: a.id})
	e.interrupt(at)
	if e.owned[a.id] == a {
		e.drop(a)
	}
	e.resume(at)
}

// expiryHeap orders allocations by expiry.
type expiryHeap []*allocation

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an allocation for container/heap.
func (h *expiryHeap) Push(x any) {
	a := x.(*allocation)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop removes the last allocation for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
