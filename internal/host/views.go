package host

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const viewInterval = 100 * time.Millisecond

// Publishes new views of the backend servers as rows come in.
func (h *Host) watchViews(ctx context.Context) error {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		h.publishView()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Takes a change of the membership into account.
func (h *Host) membersChanged() {
	h.losses.observe(time.Now(), h.members.All())
	alive := h.members.Alive()
	own := inDomain(alive, h.self.FailureDomain)
	h.news.setHosts(len(own))
	h.spreading.setMembers(alive)
	h.quota.SetHosts(max(len(own), 1))
	h.assign()
	h.duties.notify()
}

// Takes a new copy of the platform's host list into account.
func (h *Host) listed(hosts []platformapi.Host) {
	h.members.Hint(hosts)
	for _, name := range serviceNames(hosts) {
		h.services.SetServers(name, serversOf(hosts, func(x platformapi.Host) bool {
			return x.Kind == platformapi.KindService && x.Service == name && !x.Leaving
		}))
	}
	h.assign()
}

// Starts and stops schedulers by rendezvous over the live hosts of the failure domain.
func (h *Host) assign() {
	if h.stopping.Load() {
		h.schedulers.Own(nil)
		return
	}
	hosts := inDomain(h.members.Alive(), h.self.FailureDomain)
	h.schedulers.Own(slices.DeleteFunc(h.ownEngines(true), func(server protocol.Server) bool {
		owner, ok := routing.Owner(server.Name, hosts)
		return !ok || owner.Name != h.self.Name
	}))
}

func (h *Host) ownEngines(leaving bool) []protocol.Server {
	return serversOf(h.inventory.Hosts(), func(x platformapi.Host) bool {
		return x.Kind == platformapi.KindEngine && x.FailureDomain == h.self.FailureDomain && (leaving || !x.Leaving)
	})
}

func (h *Host) liveEngines() []protocol.Server { return h.ownEngines(false) }

// Counts the failure domains that have engines.
func (h *Host) failureDomains() int {
	var domains []string
	for _, x := range h.inventory.Hosts() {
		if x.Kind == platformapi.KindEngine && !slices.Contains(domains, x.FailureDomain) {
			domains = append(domains, x.FailureDomain)
		}
	}
	return max(len(domains), 1)
}

func (h *Host) publishView() {
	now := time.Now()
	rows := h.news.all()
	alive := h.members.Alive()
	hosts := h.inventory.Hosts()
	view := &fleet.View{FailureDomain: h.self.FailureDomain, Aggregates: h.news.aggregates()}
	for _, x := range hosts {
		if x.Kind != platformapi.KindEngine {
			continue
		}
		view.Entries = append(view.Entries, newEntry(now, x, rows, alive))
	}
	slices.SortFunc(view.Entries, func(a, b fleet.Entry) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	h.fleet.Update(func(*fleet.View) *fleet.View { return view })
}

func newEntry(now time.Time, x platformapi.Host, rows []protocol.Row, alive []protocol.Host) fleet.Entry {
	e := fleet.Entry{Server: serverOf(x)}
	e.Scheduler, _ = routing.Owner(x.Name, inDomain(alive, x.FailureDomain))
	i, found := slices.BinarySearchFunc(rows, x.Name, func(r protocol.Row, name string) int {
		return strings.Compare(r.Server, name)
	})
	if found {
		e.Row = rows[i]
		e.Updated = now.Add(-rows[i].Age)
	}
	e.Row.Server = x.Name
	e.Row.Leaving = e.Row.Leaving || x.Leaving
	return e
}

// Server finds a backend server by name.
func (h *Host) Server(name string) (protocol.Server, bool) {
	entry, ok := h.fleet.View().Find(name)
	return entry.Server, ok
}

func inDomain(hosts []protocol.Host, domain string) []protocol.Host {
	var own []protocol.Host
	for _, x := range hosts {
		if x.FailureDomain == domain {
			own = append(own, x)
		}
	}
	return own
}

func serversOf(hosts []platformapi.Host, wanted func(platformapi.Host) bool) []protocol.Server {
	var servers []protocol.Server
	for _, x := range hosts {
		if wanted(x) {
			servers = append(servers, serverOf(x))
		}
	}
	return servers
}

func serverOf(x platformapi.Host) protocol.Server {
	return protocol.Server{Name: x.Name, Address: x.Address, FailureDomain: x.FailureDomain, Region: x.Region}
}

func serviceNames(hosts []platformapi.Host) []string {
	var names []string
	for _, x := range hosts {
		if x.Kind == platformapi.KindService && !slices.Contains(names, x.Service) {
			names = append(names, x.Service)
		}
	}
	return names
}
