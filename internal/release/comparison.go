package release

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// DefaultMargin is how long after an allocation's expiry it is freed.
const DefaultMargin = time.Second

// Comparison finds memory on backend servers that nobody will use or free; it is safe for concurrent use.
type Comparison struct {
	Margin time.Duration // between an allocation's expiry and its release; 0 means DefaultMargin

	mu   sync.Mutex
	ends map[string]map[string]time.Time // expiry of each listed allocation by server

	unowned   bool // frees what a missing owner holds before its expiry; for tests
	unexpired bool // never frees expired memory; for tests
}

// Compare returns releases for listed allocations whose owner's incarnation has ended or whose expiry has passed.
//
// An owner that is merely missing from living may be cut off and still use its memory, which is kept until the expiry.
func (c *Comparison) Compare(
	now time.Time, server string, listed []engineapi.Allocation, held []protocol.Held, living []protocol.Host,
) []Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.observe(now, server, listed, held)
	incarnations := make(map[string]uint64, len(living))
	for _, h := range living {
		incarnations[h.Name] = max(incarnations[h.Name], h.Incarnation)
	}
	var actions []Action
	for _, a := range listed {
		current, known := incarnations[a.Host]
		replaced := current > a.Incarnation || c.unowned && !known
		expired := now.After(ends[a.ID].Add(cmp.Or(c.Margin, DefaultMargin))) && !c.unexpired
		if replaced || expired {
			actions = append(actions, Action{Server: server, Allocation: a.ID})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Allocation, b.Allocation) })
	return actions
}

// Forget drops what is remembered of a backend server whose process ended.
func (c *Comparison) Forget(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ends, server)
}

// observe updates the expiries of the listed allocations and forgets those of all others.
func (c *Comparison) observe(
	now time.Time, server string, listed []engineapi.Allocation, held []protocol.Held,
) map[string]time.Time {
	if c.ends == nil {
		c.ends = make(map[string]map[string]time.Time)
	}
	old := c.ends[server]
	ends := make(map[string]time.Time, len(listed))
	for _, a := range listed {
		end := now.Add(time.Duration(a.ExpiryMS) * time.Millisecond)
		if before, ok := old[a.ID]; ok && before.Before(end) {
			end = before
		}
		for _, h := range held {
			if owns(h.ID, a.Owner) && now.Add(h.Expiry).After(end) {
				end = now.Add(h.Expiry)
			}
		}
		ends[a.ID] = end
	}
	c.ends[server] = ends
	return ends
}

func owns(id protocol.AttemptID, o engineapi.Owner) bool {
	return id.Host == o.Host && id.Incarnation == o.Incarnation && id.Request == o.Request && id.Attempt == o.Attempt
}
