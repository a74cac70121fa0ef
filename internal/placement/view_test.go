package placement

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// Guards against planners that split long prompts over all engines, which seem idle to them, although most placements are
// those of other planners: after all hosts have restarted, or cut off from most of them.
func TestPlannerOfFewHostsHasPartialView(t *testing.T) {
	for _, test := range []struct {
		name      string
		uptime    time.Duration
		others    byte // hosts that are known
		followers byte // of these
		partial   bool
	}{
		{"just started", 0, 0, 0, true},
		{"alone", time.Minute, 0, 0, false},
		{"few follow", time.Minute, 5, 1, true},
		{"half follow", time.Minute, 5, 2, false},
	} {
		c := newTestClient(1)
		now := steady.Now()
		c.startedAt = now.Add(-test.uptime)
		for i := range test.others {
			other := newTestClient(i + 2).Roster.Self()
			c.Roster.RecordHeartbeat(now, other)
			if i < test.followers {
				c.followers.record(other.Address.String(), now, true)
			}
		}
		c.plannerAddress = c.self()
		c.updateLimitShare(now)
		if got := c.localPlanner.PartialView(); got != test.partial {
			t.Errorf("%s: partial view %v, want %v", test.name, got, test.partial)
		}
	}
}
