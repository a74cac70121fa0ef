package account

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// Phase says what a connection waits for.
type Phase int32

// Phases of a connection.
const (
	PhaseIdle      Phase = iota // the next request, of which nothing has come
	PhaseReceiving              // the rest of a request, or that the caller reads a response
	PhaseWorking                // a replica that works on its request
)

// epoch is the start of the clock of entries.
var epoch = time.Now()

// now returns the time by a clock that nobody sets.
func now() time.Time { return epoch.Add(time.Since(epoch)) }

// Entry is what one connection makes the host hold. Its methods may be called concurrently; on nil they do nothing, and take has
// room.
type Entry struct {
	account *Account
	address netip.Addr
	end     func()

	held       atomic.Int64 // bytes
	unread     atomic.Int64 // bytes that the kernel holds for the connection
	phase      atomic.Int32
	beganAt    atomic.Int64 // start of the phase, in nanoseconds
	progressAt atomic.Int64 // last progress, in nanoseconds
	moved      atomic.Int64 // bytes since the start of the phase
	ended      atomic.Bool  // end was called, or is about to be
	closed     atomic.Bool
	unitGiven  atomic.Bool
}

// Take adds bytes to what the entry holds and reports whether there is room. It may wait for a short time in a shortage.
func (e *Entry) Take(bytes int64) bool {
	if e == nil {
		return true
	}
	if !e.account.take(e, bytes) {
		e.account.report(LimitMemory, e.address)
		return false
	}
	return true
}

// Give gives back bytes of memory, which count until the next collections.
func (e *Entry) Give(bytes int64) {
	if e == nil || bytes == 0 || e.closed.Load() {
		return
	}
	e.held.Add(-bytes)
	e.account.discard(bytes)
	e.account.used.Add(-bytes)
}

// Progress records that bytes were received or sent.
func (e *Entry) Progress(bytes int) {
	e.moved.Add(int64(bytes))
	e.progressed(now())
}

func (e *Entry) progressed(now time.Time) { e.progressAt.Store(now.UnixNano()) }

// Begin records the beginning of a phase.
func (e *Entry) Begin(p Phase) {
	e.phase.Store(int32(p))
	e.beganAt.Store(now().UnixNano())
	e.moved.Store(0)
}

// Phase returns the current phase.
func (e *Entry) Phase() Phase { return Phase(e.phase.Load()) }

// Work begins the phase in which a replica works on the entry's request, which takes the given bytes and a connection to the
// replica. It reports whether there is room for both.
func (e *Entry) Work(bytes int64) bool {
	if e == nil {
		return true
	}
	if !e.Take(bytes) {
		return false
	}
	if !e.account.takeUnit(e) {
		e.account.report(LimitConnections, e.address)
		e.Release(bytes)
		return false
	}
	e.Begin(PhaseWorking)
	return true
}

// EndWork ends the phase that Work has begun.
func (e *Entry) EndWork(bytes int64) {
	if e == nil {
		return
	}
	e.Release(bytes)
	e.account.units.Add(-1)
	e.Begin(PhaseReceiving)
}

// Release gives back bytes that are free at once.
func (e *Entry) Release(bytes int64) {
	if e.closed.Load() {
		return
	}
	e.held.Add(-bytes)
	e.account.used.Add(-bytes)
}

// giveUnit gives back the entry's connection once.
func (e *Entry) giveUnit() {
	if e.unitGiven.CompareAndSwap(false, true) {
		e.account.units.Add(-1)
	}
}

// Close removes the entry. What it still holds is given back.
func (e *Entry) Close() {
	if !e.closed.CompareAndSwap(false, true) {
		return
	}
	e.account.SetUnread(e, 0)
	held := e.held.Swap(0)
	e.account.discard(held)
	e.account.used.Add(-held)
	e.giveUnit()
	e.account.remove(e)
}

// candidate returns the entry as it is now. An idle one counts as stalled from its beginning; another one once it has made no
// progress, or less than minProgress, for stallTime.
func (e *Entry) candidate(now time.Time) candidate {
	c := candidate{entry: e, address: e.address, bytes: e.held.Load() + e.unread.Load(), phase: e.Phase()}
	age := time.Duration(now.UnixNano() - e.beganAt.Load())
	pause := time.Duration(now.UnixNano() - e.progressAt.Load())
	switch {
	case c.phase == PhaseIdle && e.unread.Load() == 0:
		c.stalled = max(age, 1)
	case pause >= stallTime:
		c.stalled = pause
	case age >= stallTime && float64(e.moved.Load()) < age.Seconds()*minProgress:
		c.stalled = age
	}
	return c
}
