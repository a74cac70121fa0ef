package host

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Rows that have come in are published after this time at most.
const viewInterval = 100 * time.Millisecond

// The schedulers are told the rows of their failure domain after this time.
const domainInterval = time.Second

// Publishes views of the backend servers: the servers with their schedulers change with the membership and the host
// list, their rows all the time.
type views struct {
	host *Host

	mu   sync.Mutex
	base []fleet.Entry // ascending by name, without the rows
	rows uint64        // version of the rows last published
}

func (v *views) run(ctx context.Context) error {
	views := time.NewTicker(viewInterval)
	defer views.Stop()
	domains := time.NewTicker(domainInterval)
	defer domains.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-views.C:
			v.refresh()
		case <-domains.C:
			rows, _ := v.host.news.all()
			v.host.schedulers.Domain(rows)
		}
	}
}

// Works the servers and their schedulers out anew.
func (v *views) rebuild() {
	h := v.host
	domains := byDomain(h.members.Alive())
	var base []fleet.Entry
	for _, x := range h.inventory.Hosts() {
		if x.Kind != platformapi.KindEngine {
			continue
		}
		e := fleet.Entry{Server: serverOf(x), Row: protocol.Row{Server: x.Name, Leaving: x.Leaving}}
		e.Scheduler, _ = routing.Owner(x.Name, domains[x.FailureDomain])
		base = append(base, e)
	}
	slices.SortFunc(base, func(a, b fleet.Entry) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	v.mu.Lock()
	defer v.mu.Unlock()
	v.base = base
	v.publish()
}

// Publishes a new view if rows have changed.
func (v *views) refresh() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.host.news.version() != v.rows {
		v.publish()
	}
}

func (v *views) publish() {
	now := time.Now()
	h := v.host
	var rows []protocol.Row
	rows, v.rows = h.news.all()
	view := &fleet.View{
		FailureDomain: h.self.FailureDomain,
		Entries:       slices.Clone(v.base),
		Aggregates:    h.news.aggregates(),
	}
	i := 0
	for _, row := range rows {
		for i < len(view.Entries) && view.Entries[i].Server.Name < row.Server {
			i++
		}
		if i < len(view.Entries) && view.Entries[i].Server.Name == row.Server {
			row.Leaving = row.Leaving || view.Entries[i].Row.Leaving
			view.Entries[i].Row = row
			view.Entries[i].Updated = now.Add(-row.Age)
		}
	}
	h.fleet.Update(func(*fleet.View) *fleet.View { return view })
}

// Takes a change of the membership into account.
func (h *Host) membersChanged() {
	for _, lost := range h.losses.observe(time.Now(), h.members.All()) {
		h.Log.Info("host lost", "host", lost.Name, "incarnation", lost.Incarnation)
		h.transport.Drop(lost.Address)
	}
	alive := h.members.Alive()
	own := inDomain(alive, h.self.FailureDomain)
	h.news.setHosts(len(own))
	h.spreading.setMembers(alive)
	h.quota.SetHosts(max(len(own), 1))
	h.assign()
	h.views.rebuild()
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
	h.views.rebuild()
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

// Server finds a backend server by name.
func (h *Host) Server(name string) (protocol.Server, bool) {
	entry, ok := h.fleet.View().Find(name)
	return entry.Server, ok
}

func byDomain(hosts []protocol.Host) map[string][]protocol.Host {
	domains := make(map[string][]protocol.Host)
	for _, x := range hosts {
		domains[x.FailureDomain] = append(domains[x.FailureDomain], x)
	}
	return domains
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
