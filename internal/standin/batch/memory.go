package batch

import (
	"container/heap"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// allocation is memory of a sequence, a reservation or an export, outside the prefix cache.
type allocation struct {
	id        string
	kind      string    // one of the allocation kinds of package engineapi
	tokens    int64     // size, in tokens of KV memory
	expiry    time.Time // zero if the allocation does not expire
	seq       *sequence // set for sequences and exports, otherwise nil
	heapIndex int       // index in Engine.expiries, or -1 if the allocation is not in it
}

// capacityTokens returns the size of the engine's memory, in tokens.
func (e *Engine) capacityTokens() int64 { return e.MemoryBytes / e.KVBytesPerToken }

// Reserve allocates memory under an id until it is released or expires. If the id has a reservation already, Reserve
// only sets its expiry. It returns an *Error if the memory is not free, bytes is negative or the id is in use for
// another kind of allocation.
func (e *Engine) Reserve(now time.Time, id string, bytes int64, expiry time.Time) error {
	e.init()
	e.advance(now)
	if a := e.allocations[id]; a != nil {
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
	e.heldTokens += tokens
	e.addAllocation(&allocation{id: id, kind: engineapi.KindReservation, tokens: tokens, expiry: expiry})
	return nil
}

// Export turns the memory of a prefill-only job that has ended into an export under a new id. If that export exists
// already, Export only sets its expiry. It returns an *Error if there is no such job.
func (e *Engine) Export(now time.Time, id, exportID string, expiry time.Time) error {
	e.init()
	e.advance(now)
	if a := e.allocations[exportID]; a != nil && a.kind == engineapi.KindExport {
		e.setExpiry(a, expiry)
		return nil
	}
	a := e.allocations[id]
	if a == nil || a.seq == nil || !a.seq.awaitingExport || a.kind != engineapi.KindSequence {
		return &Error{Op: "export", Kind: engineapi.RefusalNotFound}
	}
	delete(e.allocations, id)
	e.cancelExpiry(a)
	a.id, a.kind, a.expiry = exportID, engineapi.KindExport, expiry
	e.addAllocation(a)
	return nil
}

// Release frees an allocation of any kind; it ends the job of a sequence. It returns the bytes that the allocation
// held, or 0 if the id is unknown.
func (e *Engine) Release(now time.Time, id string) int64 {
	e.init()
	e.advance(now)
	a := e.allocations[id]
	if a == nil {
		return 0
	}
	bytes := e.bytes(a)
	e.interrupt(now)
	// The steps that interrupt has completed may have ended the job and freed its memory.
	if e.allocations[id] == a {
		e.free(a)
	}
	e.startIfIdle(now)
	return bytes
}

// AllocationBytes returns the memory that an allocation holds, or false if the id has no allocation.
func (e *Engine) AllocationBytes(id string) (int64, bool) {
	a := e.allocations[id]
	if a == nil {
		return 0, false
	}
	return e.bytes(a), true
}

// EachAllocation calls visit for each allocation, in no particular order.
func (e *Engine) EachAllocation(visit func(id, kind string, bytes int64, expiry time.Time)) {
	for id, a := range e.allocations {
		visit(id, a.kind, e.bytes(a), a.expiry)
	}
}

// bytes returns the memory that an allocation holds. Blocks of the prefix cache that several sequences share are
// counted in full for each of them.
func (e *Engine) bytes(a *allocation) int64 {
	tokens := a.tokens
	if a.seq != nil {
		tokens += int64(a.seq.pinnedBlocks) * e.BlockTokens
	}
	return tokens * e.KVBytesPerToken
}

// makeRoom evicts cached blocks until the given number of tokens is free. If evicting all blocks without users would
// not suffice, it evicts nothing and returns false.
func (e *Engine) makeRoom(tokens int64, now time.Time) bool {
	capacity := e.capacityTokens()
	if e.heldTokens+e.cache.pinnedBlocks*e.BlockTokens+tokens > capacity {
		return false
	}
	for e.heldTokens+e.cache.tokens(e.BlockTokens)+tokens > capacity {
		e.emit(Event{Kind: EventEvicted, At: now, Block: e.cache.evict()})
	}
	return true
}

// allocate allocates the memory of a waiting job for its prompt and its output, reusing cached blocks and the memory of
// its reservation, which it frees. It returns false and changes nothing if there is not enough memory.
func (e *Engine) allocate(s *sequence, now time.Time) bool {
	blocks := e.matchBlocks(s)
	e.cache.pin(s.Blocks[:blocks])
	need := s.PromptTokens - s.ImportedTokens - int64(blocks)*e.BlockTokens + s.OutputTokens
	reserved := e.allocations[s.Reservation]
	if reserved != nil {
		e.heldTokens -= reserved.tokens
	}
	if !e.makeRoom(need, now) {
		e.cache.unpin(s.Blocks[:blocks])
		if reserved != nil {
			e.heldTokens += reserved.tokens
		}
		return false
	}
	if reserved != nil {
		reserved.tokens = 0
		e.free(reserved)
	}
	e.heldTokens += need
	s.alloc.tokens = need
	s.pinnedBlocks = blocks
	s.prefilled = s.ImportedTokens + int64(blocks)*e.BlockTokens
	return true
}

// matchBlocks returns how many leading blocks of the prompt a sequence can take from the prefix cache. At least one
// token is left to prefill. A sequence with imported memory takes none.
func (e *Engine) matchBlocks(s *sequence) int {
	if s.ImportedTokens > 0 {
		return 0
	}
	blocks := e.cache.match(s.Blocks)
	if maxBlocks := (s.PromptTokens - 1) / e.BlockTokens; int64(blocks) > maxBlocks {
		blocks = int(max(maxBlocks, 0))
	}
	return blocks
}

// storeBlocks moves the complete blocks that a sequence has prefilled from its own memory into the prefix cache. It
// stores nothing for a sequence with imported memory.
func (e *Engine) storeBlocks(s *sequence, at time.Time) {
	if s.ImportedTokens > 0 {
		return
	}
	for s.pinnedBlocks < len(s.Blocks) && int64(s.pinnedBlocks+1)*e.BlockTokens <= s.prefilled {
		hash := s.Blocks[s.pinnedBlocks]
		if e.cache.store(hash) {
			e.emit(Event{Kind: EventStored, At: at, Block: hash})
		}
		s.pinnedBlocks++
		s.alloc.tokens -= e.BlockTokens
		e.heldTokens -= e.BlockTokens
	}
}

// addAllocation registers an allocation and, if it expires, its expiry.
func (e *Engine) addAllocation(a *allocation) {
	e.allocations[a.id] = a
	a.heapIndex = -1
	if !a.expiry.IsZero() {
		heap.Push(&e.expiries, a)
	}
}

// cancelExpiry removes an allocation from the heap of expiries.
func (e *Engine) cancelExpiry(a *allocation) {
	if a.heapIndex >= 0 {
		heap.Remove(&e.expiries, a.heapIndex)
	}
}

// setExpiry replaces the expiry of an allocation.
func (e *Engine) setExpiry(a *allocation, expiry time.Time) {
	e.cancelExpiry(a)
	a.expiry = expiry
	e.addAllocation(a)
}

// free removes an allocation and frees its memory; the sequence, if there is one, leaves the queue or the batch. Its
// cached blocks stay in the prefix cache.
func (e *Engine) free(a *allocation) {
	delete(e.allocations, a.id)
	e.cancelExpiry(a)
	e.heldTokens -= a.tokens
	a.tokens = 0
	if a.seq == nil {
		return
	}
	e.cache.unpin(a.seq.Blocks[:a.seq.pinnedBlocks])
	a.seq.pinnedBlocks = 0
	e.waiting = remove(e.waiting, a.seq)
	if !a.seq.ended() {
		e.running = remove(e.running, a.seq)
	}
}

// ended reports whether the sequence has done all its work, so that removeEnded has removed it from the batch or is
// about to.
func (s *sequence) ended() bool {
	return !s.prefilling() && (s.awaitingExport || s.decoded >= s.OutputTokens)
}

// expire frees an allocation whose expiry has passed; the caller has removed it from the heap of expiries.
func (e *Engine) expire(a *allocation) {
	at := a.expiry
	a.heapIndex = -1
	e.emit(Event{Kind: EventExpired, At: at, ID: a.id})
	e.interrupt(at)
	if e.allocations[a.id] == a {
		e.free(a)
	}
	e.startIfIdle(at)
}

// expiryHeap is a heap of allocations, the earliest expiry first.
type expiryHeap []*allocation

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends an allocation for container/heap.
func (h *expiryHeap) Push(x any) {
	a := x.(*allocation)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop removes the last allocation for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.heapIndex = -1
	return a
}
