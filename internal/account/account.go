package account

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTime is how long a connection may make no progress until it counts as stalled.
	stallTime = time.Second
	// minProgress is the progress, in bytes per second, below which a request or response counts as stalled.
	minProgress = 8 << 10
	// A shortage frees one part in spareParts of the limit more than is needed, so that the next request needs no search.
	spareParts = 16
	// How often, and at which interval, an entry that takes bytes in a shortage looks whether connections that were closed and the
	// garbage collector have given back enough.
	shortageRounds   = 40
	shortageInterval = 5 * time.Millisecond
	// A collection is started in a shortage if the last one has ended this many times its own length ago, so that collections
	// take a small part of the processor.
	collectionRest = 4
)

// Limit names a limit that was reached.
type Limit string

// Limits that an account reports.
const (
	LimitMemory      Limit = "memory"
	LimitConnections Limit = "connections"
	LimitPerAddress  Limit = "connections_per_address"
)

// Account counts the bytes and connections that one listener holds. Its exported fields must be set before use; its zero value
// has no limits.
type Account struct {
	Bytes       int64 // all entries together at most; 0 means no limit
	Connections int   // connections, and requests that need one to a replica, at most; 0 means no limit
	PerAddress  int   // connections from one address at most; 0 means no limit
	// OnLimit is called, if it isn't nil, for each connection that is closed or refused because of a limit.
	OnLimit func(limit Limit, address netip.Addr)
	// Collect runs the garbage collector. Without it, bytes that were given back don't count until they are collected.
	Collect func()

	used    atomic.Int64 // bytes that entries hold, and unread bytes
	units   atomic.Int64 // connections and requests that need one
	garbage garbage

	mu      sync.Mutex
	entries map[*Entry]bool
	count   map[netip.Addr]int // entries by address

	collecting     sync.Mutex
	collectedAt    time.Time
	collectionTime time.Duration
}

// Used returns the bytes that are held, including those that were given back but not yet collected, and the number of
// connections.
func (a *Account) Used() (bytes int64, connections int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used.Load() + a.garbage.bytes(), len(a.entries)
}

// Open adds the entry of a new connection that holds bytes. End is called at most once, when the connection must be closed. Open
// returns nil if there is no room.
func (a *Account) Open(address netip.Addr, bytes int64, end func()) *Entry {
	e := &Entry{account: a, address: address, end: end}
	e.progressed(now())
	e.Begin(PhaseReceiving)
	if !a.takeUnit(e) {
		a.report(LimitConnections, address)
		return nil
	}
	if !a.takeAtOnce(e, bytes) {
		e.giveUnit()
		a.report(LimitMemory, address)
		return nil
	}
	if !a.add(e) {
		e.Close()
		a.report(LimitPerAddress, address)
		return nil
	}
	return e
}

// add adds an entry and reports whether its address may have one more.
func (a *Account) add(e *Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries == nil {
		a.entries = make(map[*Entry]bool)
		a.count = make(map[netip.Addr]int)
	}
	if a.PerAddress > 0 && a.count[e.address] >= a.PerAddress {
		return false
	}
	a.entries[e] = true
	a.count[e.address]++
	return true
}

// remove removes an entry if it was added.
func (a *Account) remove(e *Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.entries[e] {
		return
	}
	delete(a.entries, e)
	if a.count[e.address]--; a.count[e.address] == 0 {
		delete(a.count, e.address)
	}
}

func (a *Account) report(limit Limit, address netip.Addr) {
	if a.OnLimit != nil {
		a.OnLimit(limit, address)
	}
}

// takeUnit takes a connection and reports whether there is one. If not, it ends the entry that has made the least progress for
// what it holds, which gives back its own once it is closed.
func (a *Account) takeUnit(e *Entry) bool {
	if a.Connections == 0 || a.units.Add(1) <= int64(a.Connections) {
		return true
	}
	victims := a.end(e, 1, LimitConnections)
	if len(victims) == 0 {
		a.units.Add(-1)
		return false
	}
	for _, v := range victims {
		v.giveUnit()
	}
	return true
}

// take adds bytes to what e holds and reports whether there is room. If not, it ends entries that have made little progress, and
// waits for a short time until they are closed.
func (a *Account) take(e *Entry, bytes int64) bool {
	if a.Bytes == 0 || a.reserve(bytes) {
		e.held.Add(bytes)
		return true
	}
	if bytes > a.Bytes {
		return false
	}
	for range shortageRounds {
		if !a.makeRoom(e, bytes) {
			return false
		}
		time.Sleep(shortageInterval)
		if a.reserve(bytes) {
			e.held.Add(bytes)
			return true
		}
	}
	return false
}

// takeAtOnce does what take does without waiting, since connections in the listener's queue hold bytes as well: what the ended entries
// hold counts as free.
func (a *Account) takeAtOnce(e *Entry, bytes int64) bool {
	if a.Bytes > 0 && !a.reserve(bytes) {
		if missing := a.used.Load() + bytes - a.Bytes - a.ending(); missing > 0 && len(a.end(e, missing, LimitMemory)) == 0 {
			return false
		}
		a.used.Add(bytes)
	}
	e.held.Add(bytes)
	return true
}

func (a *Account) reserve(bytes int64) bool {
	if a.used.Add(bytes)+a.garbage.bytes() <= a.Bytes {
		return true
	}
	a.used.Add(-bytes)
	return false
}

// makeRoom ends entries, or collects garbage if that is enough. It reports whether either may free the given bytes.
func (a *Account) makeRoom(e *Entry, bytes int64) bool {
	if a.used.Load()+bytes <= a.Bytes {
		a.collect()
		return true
	}
	missing := a.used.Load() + bytes - a.Bytes - a.ending()
	return missing <= 0 || len(a.end(e, missing, LimitMemory)) > 0
}

// discard counts bytes that wait for the garbage collector.
func (a *Account) discard(bytes int64) {
	if a.Collect != nil {
		a.garbage.add(bytes)
	}
}

// collect runs the garbage collector, unless one is running or has just run.
func (a *Account) collect() {
	if a.Collect == nil || !a.collecting.TryLock() {
		return
	}
	defer a.collecting.Unlock()
	began := now()
	if began.Sub(a.collectedAt) < collectionRest*a.collectionTime {
		return
	}
	a.Collect()
	a.collectedAt = now()
	a.collectionTime = a.collectedAt.Sub(began)
}

// ending returns the bytes of entries that have been ended and aren't closed yet.
func (a *Account) ending() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var bytes int64
	for e := range a.entries {
		if e.ended.Load() {
			bytes += e.held.Load() + e.unread.Load()
		}
	}
	return bytes
}

// end ends entries that hold the missing amount, and some more, and returns them. The amount is one of connections with
// LimitConnections, and otherwise one of bytes.
func (a *Account) end(newcomer *Entry, missing int64, limit Limit) []*Entry {
	at := now()
	a.mu.Lock()
	candidates := make([]candidate, 0, len(a.entries))
	for e := range a.entries {
		if e != newcomer {
			candidates = append(candidates, e.candidate(at))
		}
	}
	a.mu.Unlock()
	wanted := missing
	if limit == LimitMemory {
		wanted += a.Bytes / spareParts
	}
	var ended []*Entry
	for _, c := range order(candidates, newcomer.address) {
		if wanted <= 0 {
			break
		}
		if !c.entry.ended.CompareAndSwap(false, true) {
			continue
		}
		if limit == LimitMemory {
			wanted -= c.bytes
		} else {
			wanted--
		}
		a.report(limit, c.entry.address)
		c.entry.end()
		ended = append(ended, c.entry)
	}
	return ended
}

// Take counts bytes of a replica's response, for which there is always room: the request has run.
func (a *Account) Take(bytes int64) bool {
	a.used.Add(bytes)
	return true
}

// Give gives back bytes that Take has counted.
func (a *Account) Give(bytes int64) {
	a.discard(bytes)
	a.used.Add(-bytes)
}

// SetUnread replaces the bytes that the kernel holds unread for the entry's connection.
func (a *Account) SetUnread(e *Entry, bytes int64) {
	a.used.Add(bytes - e.unread.Swap(bytes))
}

// Shed ends entries until there is room for what is held.
func (a *Account) Shed() {
	if over := a.used.Load() - a.Bytes - a.ending(); a.Bytes > 0 && over > 0 {
		a.end(&Entry{}, over, LimitMemory)
	}
}
