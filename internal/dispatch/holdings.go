package dispatch

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// grantTable records the grants that attempts of this host use.
type grantTable struct {
	mu        sync.Mutex
	byAttempt map[protocol.AttemptID][]*activeGrant // a long prompt has one grant for each engine that it runs on
}

// activeGrant is a grant that an attempt uses. It also stands for an attempt that runs without a grant; such an attempt
// has no scheduler.
type activeGrant struct {
	server       string
	scheduler    protocol.Host // host that issued the grant; zero without a grant
	expiry       time.Time
	epoch        uint64             // epoch of the backend server's process; 0 if unknown
	refreshEntry protocol.HeldGrant // the grant as it is sent to the scheduler, without its expiry
}

func (t *grantTable) add(grant *activeGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAttempt == nil {
		t.byAttempt = make(map[protocol.AttemptID][]*activeGrant)
	}
	t.byAttempt[grant.refreshEntry.ID] = append(t.byAttempt[grant.refreshEntry.ID], grant)
}

func (t *grantTable) remove(grant *activeGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rest := slices.DeleteFunc(t.byAttempt[grant.refreshEntry.ID], func(other *activeGrant) bool { return other == grant })
	if len(rest) == 0 {
		delete(t.byAttempt, grant.refreshEntry.ID)
		return
	}
	t.byAttempt[grant.refreshEntry.ID] = rest
}

// markPrefilled records that the prefill of the attempt has ended.
func (t *grantTable) markPrefilled(grant *activeGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	grant.refreshEntry.Prefilling = false
}

// refreshes returns all grants, with the time until they expire, grouped by backend server and sorted by its name.
func (t *grantTable) refreshes(now time.Time) []protocol.Refresh {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []protocol.Refresh
	for _, list := range t.byAttempt {
		for _, grant := range list {
			entry := grant.refreshEntry
			entry.Expiry = grant.expiry.Sub(now)
			all = addToRefresh(all, grant.server, entry)
		}
	}
	return all
}

// addToRefresh adds entry to the refresh of the backend server in all, which is sorted by server name.
func addToRefresh(all []protocol.Refresh, server string, entry protocol.HeldGrant) []protocol.Refresh {
	i, found := slices.BinarySearchFunc(all, server, func(r protocol.Refresh, name string) int {
		return strings.Compare(r.Server, name)
	})
	if !found {
		all = slices.Insert(all, i, protocol.Refresh{Server: server})
	}
	all[i].Grants = append(all[i].Grants, entry)
	return all
}
