package placement

import "time"

// hostCountMemory is how long a larger number of hosts is kept after a smaller one was reported. A host that has just
// become planner hears from the others one after the other.
const hostCountMemory = 15 * time.Second

// hostCount is the number of entry hosts as planners report it. Hosts share the retry budget by it, so it must not be too
// small while the planner changes.
type hostCount struct {
	count      int
	reportedAt time.Time // when count was last reached
}

// record takes over the number that a planner has reported at now.
func (h *hostCount) record(now time.Time, count int) {
	if count >= h.count || now.Sub(h.reportedAt) > hostCountMemory {
		h.count = count
		h.reportedAt = now
	}
}
