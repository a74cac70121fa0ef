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

// viewInterval is the interval at which changed rows are published in a new view.
const viewInterval = 100 * time.Millisecond

// domainInterval is the interval at which the schedulers receive the rows of their failure domain.
const domainInterval = time.Second

// viewPublisher publishes views of the backend servers. The list of servers and schedulers is rebuilt when the
// membership or the host list changes; the rows are updated continuously.
type viewPublisher struct {
	host *Host

	mu          sync.Mutex
	baseEntries []fleet.Entry // ascending by name, without the rows
	rowsVersion uint64        // version of the rows last published
}

func (v *viewPublisher) run(ctx context.Context) error {
	viewTicker := time.NewTicker(viewInterval)
	defer viewTicker.Stop()
	domainTicker := time.NewTicker(domainInterval)
	defer domainTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-viewTicker.C:
			v.refresh()
		case <-domainTicker.C:
			rows, _ := v.host.gossip.rowsAndVersion()
			v.host.schedulers.UpdateRows(rows)
		}
	}
}

// rebuild computes the list of backend servers and their schedulers anew and publishes a view.
func (v *viewPublisher) rebuild() {
	h := v.host
	domains := groupByDomain(h.members.Alive())
	var base []fleet.Entry
	for _, x := range h.inventory.Hosts() {
		if x.Kind != platformapi.KindEngine {
			continue
		}
		e := fleet.Entry{Server: toServer(x), Row: protocol.Row{Server: x.Name, Leaving: x.Leaving}}
		e.Scheduler, _ = routing.Owner(x.Name, domains[x.FailureDomain])
		base = append(base, e)
	}
	slices.SortFunc(base, func(a, b fleet.Entry) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	v.mu.Lock()
	defer v.mu.Unlock()
	v.baseEntries = base
	v.publish()
}

// refresh publishes a new view if rows have changed.
func (v *viewPublisher) refresh() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.host.gossip.postOwnRows() != v.rowsVersion {
		v.publish()
	}
}

// publish combines the base entries with the newest rows in a new view. The caller must hold v.mu.
func (v *viewPublisher) publish() {
	now := time.Now()
	h := v.host
	var rows []protocol.Row
	rows, v.rowsVersion = h.gossip.rowsAndVersion()
	view := &fleet.View{
		FailureDomain: h.self.FailureDomain,
		Entries:       slices.Clone(v.baseEntries),
		Aggregates:    h.gossip.remoteAggregates(),
	}
	i := 0
	for _, row := range rows {
		for i < len(view.Entries) && view.Entries[i].Server.Name < row.Server {
			i++
		}
		if i < len(view.Entries) && view.Entries[i].Server.Name == row.Server {
			row.Leaving = row.Leaving || view.Entries[i].Row.Leaving
			view.Entries[i].Row = row
			view.Entries[i].RowCreatedAt = now.Add(-row.Age)
		}
	}
	h.fleet.Update(func(*fleet.View) *fleet.View { return view })
}

// membersChanged updates all components that depend on the membership.
func (h *Host) membersChanged() {
	for _, lost := range h.losses.observe(time.Now(), h.members.AllMembers()) {
		h.Log.Info("host lost", "host", lost.Name, "incarnation", lost.Incarnation)
		h.transport.CloseConn(lost.Address)
	}
	alive := h.members.Alive()
	own := hostsInDomain(alive, h.self.FailureDomain)
	h.gossip.setHostCount(len(own))
	h.distributor.setMembers(alive)
	h.quota.SetHostCount(max(len(own), 1))
	h.assignSchedulers()
	h.viewPublisher.rebuild()
	h.edgeTasks.notify()
}

// applyHostList updates all components that depend on the platform's host list.
func (h *Host) applyHostList(hosts []platformapi.Host) {
	h.members.SetPlatformHosts(hosts)
	for _, name := range serviceNames(hosts) {
		h.services.SetServers(name, selectServers(hosts, func(x platformapi.Host) bool {
			return x.Kind == platformapi.KindService && x.Service == name && !x.Leaving
		}))
	}
	h.assignSchedulers()
	h.viewPublisher.rebuild()
}

// assignSchedulers starts and stops schedulers so that this host runs those of the engines that rendezvous hashing over
// the live hosts of the failure domain assigns to it. A stopping host runs none.
func (h *Host) assignSchedulers() {
	if h.stopping.Load() {
		h.schedulers.SetServers(nil)
		return
	}
	hosts := hostsInDomain(h.members.Alive(), h.self.FailureDomain)
	h.schedulers.SetServers(slices.DeleteFunc(h.domainEngines(true), func(server protocol.Server) bool {
		owner, ok := routing.Owner(server.Name, hosts)
		return !ok || owner.Name != h.self.Name
	}))
}

// domainEngines returns the engines of this host's failure domain; those that are leaving only if includeLeaving is
// set.
func (h *Host) domainEngines(includeLeaving bool) []protocol.Server {
	return selectServers(h.inventory.Hosts(), func(x platformapi.Host) bool {
		return x.Kind == platformapi.KindEngine && x.FailureDomain == h.self.FailureDomain && (includeLeaving || !x.Leaving)
	})
}

func (h *Host) nonLeavingEngines() []protocol.Server { return h.domainEngines(false) }

// failureDomains returns the number of failure domains that have engines, at least 1.
func (h *Host) failureDomains() int {
	var domains []string
	for _, x := range h.inventory.Hosts() {
		if x.Kind == platformapi.KindEngine && !slices.Contains(domains, x.FailureDomain) {
			domains = append(domains, x.FailureDomain)
		}
	}
	return max(len(domains), 1)
}

// Server returns the backend server with the given name; ok is false if the view has none.
func (h *Host) Server(name string) (protocol.Server, bool) {
	entry, ok := h.fleet.View().Find(name)
	return entry.Server, ok
}

func groupByDomain(hosts []protocol.Host) map[string][]protocol.Host {
	domains := make(map[string][]protocol.Host)
	for _, x := range hosts {
		domains[x.FailureDomain] = append(domains[x.FailureDomain], x)
	}
	return domains
}

func hostsInDomain(hosts []protocol.Host, domain string) []protocol.Host {
	var own []protocol.Host
	for _, x := range hosts {
		if x.FailureDomain == domain {
			own = append(own, x)
		}
	}
	return own
}

func selectServers(hosts []platformapi.Host, wanted func(platformapi.Host) bool) []protocol.Server {
	var servers []protocol.Server
	for _, x := range hosts {
		if wanted(x) {
			servers = append(servers, toServer(x))
		}
	}
	return servers
}

func toServer(x platformapi.Host) protocol.Server {
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
