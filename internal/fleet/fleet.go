package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Entry is the cached state of one backend server.
type Entry struct {
	Server       protocol.Server
	Row          protocol.Row
	Scheduler    protocol.Host // zero when no live host schedules the backend server
	RowCreatedAt time.Time     // when the scheduler made Row, by its age on arrival; zero if none has arrived
}

// View is an immutable snapshot of the cached state of the backend servers.
type View struct {
	FailureDomain string               // of this host
	Entries       []Entry              // ascending by the name of the backend server
	Aggregates    []protocol.Aggregate // of the other failure domains
}

// Find returns the entry of the named backend server. It returns false if there is none.
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

// Store holds the current view. It is safe for concurrent use; readers never wait for writers.
type Store struct {
	mu      sync.Mutex // serializes writers
	current atomic.Pointer[View]
}

// View returns the current view, which must not be changed. The view is empty before the first Update.
func (s *Store) View() *View {
	if v := s.current.Load(); v != nil {
		return v
	}
	return &View{}
}

// Update replaces the current view with the result of update. update must return a new View and not change the old one.
func (s *Store) Update(update func(*View) *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Store(update(s.View()))
}
