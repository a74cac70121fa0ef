package placement

import (
	"net/netip"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/roster"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// Guards against a plan of a planner that knows nothing of regions, or has others in its settings, and against helper replicas that
// this host doesn't know (incident HOME).
func TestPlansOutsideOfAllowedRegions(t *testing.T) {
	c := newTestClient(1)
	c.Regions = map[string]string{"a": "north", "b": "south"}
	address := netip.MustParseAddrPort("10.1.1.1:80")
	helper := replica.Replica{ID: "h", Service: "s", Address: address, FailureDomain: "b", Slots: 1}
	c.Cache.Import(steady.Now(), feed.State{ReplicaRevision: 1, HasReplicas: true, Replicas: []replica.Replica{helper}})
	for _, test := range []struct {
		name    string
		domain  string
		helpers []planner.Helper
		allowed []string
		want    bool
	}{
		{"inside", "a", nil, []string{"north"}, true},
		{"outside", "b", nil, []string{"north"}, false},
		{"unknown failure domain", "c", nil, []string{"north", ""}, false},
		{"helper inside", "a", []planner.Helper{{Replica: "h", Address: address}}, []string{"north", "south"}, true},
		{"helper outside", "a", []planner.Helper{{Replica: "h", Address: address}}, []string{"north"}, false},
		{"unknown helper", "a", []planner.Helper{{Replica: "x", Address: address}}, []string{"north", "south"}, false},
		{
			"helper at another address", "a",
			[]planner.Helper{{Replica: "h", Address: netip.MustParseAddrPort("10.1.1.2:80")}},
			[]string{"north", "south"},
			false,
		},
	} {
		plan := &planner.Plan{Replica: replica.Replica{ID: "r", FailureDomain: test.domain}, Helpers: test.helpers}
		if got := c.AllowPlan(test.allowed, plan); got != test.want {
			t.Errorf("%s: allowed %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a host between whose region isn't known, or isn't an allowed one.
func TestHostsOutsideOfAllowedRegions(t *testing.T) {
	c := newTestClient(1)
	hosts := map[string]roster.Member{
		"north": {Address: netip.MustParseAddrPort("10.0.0.2:80"), Region: "north"},
		"south": {Address: netip.MustParseAddrPort("10.0.0.3:80"), Region: "south"},
		"":      {Address: netip.MustParseAddrPort("10.0.0.4:80")},
	}
	for region, m := range hosts {
		c.Roster.RecordHeartbeat(steady.Now(), m)
		if got := c.AllowHost([]string{"north", ""}, m.Address); got != (region == "north") {
			t.Errorf("host of region %q: allowed %v", region, got)
		}
	}
	if c.AllowHost([]string{"north", ""}, netip.MustParseAddrPort("10.0.0.9:80")) {
		t.Error("an unknown host is allowed")
	}
}
