package metastore

import (
	"maps"
	"net/http"
	"strconv"
)

// Copy is a copy of the content of a store.
type Copy struct {
	revision    int64
	items       map[string]item
	leases      map[int64]*lease
	lastLeaseID int64
}

// Copy returns a copy of the store's items, leases and revision.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		revision: s.revision, items: maps.Clone(s.items), leases: make(map[int64]*lease), lastLeaseID: s.lastLeaseID,
	}
	for id, l := range s.leases {
		copied := *l
		c.leases[id] = &copied
	}
	return c
}

// Restore replaces the content of the store by that of the copy c, which must not be used again. What was written since
// is lost, revisions and IDs of leases are given out again, and the era of the store rises.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.leases, s.lastLeaseID = c.revision, c.items, c.leases, c.lastLeaseID
}

// writeEra sets the header that names the store's era. A store that was never restored names none.
func (s *Store) writeEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
}
