package release

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// DefaultMargin is the default time between an allocation's expiry and its release.
const DefaultMargin = time.Second

// OrphanDetector finds allocations on backend servers that nobody will use or free. It is safe for concurrent use.
type OrphanDetector struct {
	Margin time.Duration // time between an allocation's expiry and its release; 0 means DefaultMargin

	mu       sync.Mutex
	expiries map[string]map[string]time.Time // expiry of each listed allocation, by server and allocation ID

	freeMissingOwners bool // frees allocations before their expiry if their host is not in living; for tests
	ignoreExpiry      bool // does not free expired allocations; for tests
}

// Releases returns releases for those allocations of a backend server that can be freed, in the order of their IDs.
//
// listed are the allocations that the server reports, held the grants of the server that are in use, and living the
// hosts that are alive. An allocation is freed if its owner's host is alive in a newer incarnation, or once Margin has
// passed since its expiry. A host that is merely missing from living may be cut off from this one and still use its
// memory, so its allocations stay until they expire.
func (d *OrphanDetector) Releases(
	now time.Time, server string, listed []engineapi.Allocation, held []protocol.HeldGrant, living []protocol.Host,
) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	expiries := d.observe(now, server, listed, held)
	incarnations := make(map[string]uint64, len(living))
	for _, h := range living {
		incarnations[h.Name] = max(incarnations[h.Name], h.Incarnation)
	}
	var actions []Action
	for _, a := range listed {
		current, alive := incarnations[a.Host]
		replaced := current > a.Incarnation || d.freeMissingOwners && !alive
		expired := now.After(expiries[a.ID].Add(cmp.Or(d.Margin, DefaultMargin))) && !d.ignoreExpiry
		if replaced || expired {
			actions = append(actions, Action{Server: server, Allocation: a.ID})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Allocation, b.Allocation) })
	return actions
}

// Forget drops the expiries of the allocations of a backend server whose process has ended.
func (d *OrphanDetector) Forget(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.expiries, server)
}

// observe updates the expiries of the listed allocations, drops those of all others on the server and returns them.
//
// A later list never postpones an expiry that was recorded before; only a grant that is still in use does.
func (d *OrphanDetector) observe(
	now time.Time, server string, listed []engineapi.Allocation, held []protocol.HeldGrant,
) map[string]time.Time {
	if d.expiries == nil {
		d.expiries = make(map[string]map[string]time.Time)
	}
	old := d.expiries[server]
	expiries := make(map[string]time.Time, len(listed))
	for _, a := range listed {
		expiry := now.Add(time.Duration(a.ExpiryMS) * time.Millisecond)
		if before, ok := old[a.ID]; ok && before.Before(expiry) {
			expiry = before
		}
		for _, h := range held {
			if owns(h.ID, a.Owner) && now.Add(h.Expiry).After(expiry) {
				expiry = now.Add(h.Expiry)
			}
		}
		expiries[a.ID] = expiry
	}
	d.expiries[server] = expiries
	return expiries
}

// owns reports whether the attempt is the allocation's owner.
func owns(id protocol.AttemptID, o engineapi.Owner) bool {
	return id.Host == o.Host && id.Incarnation == o.Incarnation && id.Request == o.Request && id.Attempt == o.Attempt
}
