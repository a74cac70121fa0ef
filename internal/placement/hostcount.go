package placement

import "time"

const (
	// How long a larger number of hosts is kept after a smaller one was reported. A host that has just become planner hears
	// from the others one after the other.
	hostCountMemory = 15 * time.Second
	// How long a host after its start assumes that there are assumedHosts at least.
	discoveryTime = 6 * time.Second
	assumedHosts  = 200
)

// hostCount is the number of entry hosts as planners report it. Hosts share budgets by it, so it must not be too small
// while the planner changes or hosts can't hear each other.
type hostCount struct {
	memory     time.Duration // for which a larger number is kept
	count      int
	reportedAt time.Time // when count was last reached
}

// record takes over the number that a planner has reported at now.
func (h *hostCount) record(now time.Time, count int) {
	if count >= h.count || now.Sub(h.reportedAt) > h.memory {
		h.count = count
		h.reportedAt = now
	}
}
