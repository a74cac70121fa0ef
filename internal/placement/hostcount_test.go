package placement

import (
	"testing"
	"time"
)

func TestHostCountOutlastsChangeOfPlanner(t *testing.T) {
	h := hostCount{memory: hostCountMemory}
	now := time.Unix(1000, 0)
	h.record(now, 295)
	for _, count := range []int{1, 40, 200} {
		now = now.Add(time.Second)
		if h.record(now, count); h.count != 295 {
			t.Errorf("%d hosts after a new planner reported %d, want 295", h.count, count)
		}
	}
	now = now.Add(hostCountMemory)
	if h.record(now, 250); h.count != 250 {
		t.Errorf("%d hosts although 250 were reported for %v, want 250", h.count, hostCountMemory)
	}
}
