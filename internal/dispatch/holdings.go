package dispatch

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Remembers the grants that this host uses.
type holdings struct {
	mu   sync.Mutex
	held map[protocol.AttemptID][]*holding // a long prompt has one for each member
}

type holding struct {
	server    string
	scheduler protocol.Host
	expiry    time.Time
	epoch     uint64 // of the backend server's process; 0 when unknown
	held      protocol.Held
}

func (h *holdings) add(x *holding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held == nil {
		h.held = make(map[protocol.AttemptID][]*holding)
	}
	h.held[x.held.ID] = append(h.held[x.held.ID], x)
}

func (h *holdings) remove(x *holding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rest := slices.DeleteFunc(h.held[x.held.ID], func(other *holding) bool { return other == x })
	if len(rest) == 0 {
		delete(h.held, x.held.ID)
		return
	}
	h.held[x.held.ID] = rest
}

func (h *holdings) prefilled(x *holding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.held.Prefilling = false
}

func (h *holdings) refreshes(now time.Time) []protocol.Refresh {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []protocol.Refresh
	for _, list := range h.held {
		for _, x := range list {
			held := x.held
			held.Expiry = x.expiry.Sub(now)
			all = add(all, x.server, held)
		}
	}
	return all
}

func add(all []protocol.Refresh, server string, held protocol.Held) []protocol.Refresh {
	i, found := slices.BinarySearchFunc(all, server, func(r protocol.Refresh, name string) int {
		return strings.Compare(r.Server, name)
	})
	if !found {
		all = slices.Insert(all, i, protocol.Refresh{Server: server})
	}
	all[i].Held = append(all[i].Held, held)
	return all
}
