package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Entry is what a host knows about one backend server.
type Entry struct {
	Server    protocol.Server
	Row       protocol.Row
	Scheduler protocol.Host // zero when no live host schedules the backend server
	Updated   time.Time     // when Row was received
}

// View is an immutable snapshot of the backend servers in ascending order of their names.
type View struct {
	FailureDomain string // of this host
	Entries       []Entry
	Aggregates    []protocol.Aggregate // of the other failure domains
}

// Find returns the entry of the named backend server.
func (v *View) Find(name string) (Entry, bool) {
	lo, hi := 0, len(v.Entries)
	for lo < hi {
		mid := (lo + hi) / 2
		if v.Entries[mid].Server.Name < name {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(v.Entries) || v.Entries[lo].Server.Name != name {
		return Entry{}, false
	}
	return v.Entries[lo], true
}

// Table publishes views; readers never wait for writers.
type Table struct {
	mu      sync.Mutex // serializes writers
	current atomic.Pointer[View]
}

// View returns the current snapshot, which must not be changed.
func (t *Table) View() *View {
	if v := t.current.Load(); v != nil {
		return v
	}
	return &View{}
}

// Update replaces the snapshot by what change makes of it; change must return a new View.
func (t *Table) Update(change func(*View) *View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.Store(change(t.View()))
}
