package placement

import (
	"context"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// A host that was frozen for seconds continues with the planner that it had.
func TestHostKeepsItsPlannerWhenItContinues(t *testing.T) {
	host, first, _, _ := newFleet(t)
	const frozen = 5 * time.Second
	now := steady.Now()
	host.mu.Lock()
	host.lastTick = now.Add(-frozen)
	host.Roster.RecordPause(-frozen) // as if all had been heard from before the host was frozen
	host.mu.Unlock()
	host.tick(context.Background())
	if planner := host.Planner(); planner != first.self() {
		t.Errorf("planner %v, want %v", planner, first.self())
	}
}
