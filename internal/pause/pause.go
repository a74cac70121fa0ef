package pause

import (
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Table holds the pauses that backend servers have asked for. Its zero value is empty and ready to use; it is safe for
// concurrent use. All times passed to its methods must come from the same clock.
type Table struct {
	mu     sync.Mutex
	pauses map[string]entry // by replica id
}

// entry is the pause of one incarnation of a replica.
type entry struct {
	born  int64
	until time.Time
}

// Add records that r wants no requests before until.
func (t *Table) Add(now time.Time, r replica.Replica, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pauses == nil {
		t.pauses = make(map[string]entry)
	}
	t.removeEnded(now)
	if p := t.pauses[r.ID]; p.born == r.Born && p.until.After(until) {
		return
	}
	t.pauses[r.ID] = entry{born: r.Born, until: until}
}

// Paused reports whether r wants no requests at now.
func (t *Table) Paused(now time.Time, r replica.Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pauses[r.ID]
	return ok && p.born == r.Born && now.Before(p.until)
}

// IDs returns the IDs of the replicas that want no requests at now, in no order.
func (t *Table) IDs(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeEnded(now)
	var ids []string
	for id := range t.pauses {
		ids = append(ids, id)
	}
	return ids
}

// Restarted ends the pauses of those replicas that are listed with a later start than the one that asked for the pause.
func (t *Table) Restarted(listed []replica.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pauses) == 0 {
		return
	}
	for i := range listed {
		if p, ok := t.pauses[listed[i].ID]; ok && p.born < listed[i].Born {
			delete(t.pauses, listed[i].ID)
		}
	}
}

// removeEnded removes the pauses that are over at now.
func (t *Table) removeEnded(now time.Time) {
	for id, p := range t.pauses {
		if !now.Before(p.until) {
			delete(t.pauses, id)
		}
	}
}
