package host

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// versionTimeout limits the query of one host's configuration version.
const versionTimeout = time.Second

// Status returns this host's state and its cached state of other hosts and backend servers.
func (h *Host) Status() adminapi.Status {
	s := adminapi.Status{
		Host: h.self.Name, Incarnation: h.self.Incarnation, FailureDomain: h.self.FailureDomain, Region: h.self.Region,
		Version: h.Version, Ready: h.Ready(), Stopping: h.stopping.Load(), Edge: h.edgeTasks.isEdge(),
		ActiveRequests: h.entry.Active(), PendingReleases: h.reclaim.Pending(), Configuration: h.ownVersion(),
		HostListIndex: h.inventory.Index(), Members: []adminapi.Member{}, BackendServers: []adminapi.BackendServer{},
		Grants: []adminapi.Grant{},
	}
	for _, m := range h.members.AllMembers() {
		s.Members = append(s.Members, adminapi.Member{
			Host: m.Host.Name, Address: m.Host.Address.String(), FailureDomain: m.Host.FailureDomain,
			Incarnation: m.Host.Incarnation, State: stateName(m.State),
		})
	}
	now := time.Now()
	for _, e := range h.fleet.View().Entries {
		s.BackendServers = append(s.BackendServers, backendServer(now, e))
	}
	for _, r := range h.dispatcher.GrantRefreshes() {
		for _, grant := range r.Grants {
			s.Grants = append(s.Grants, adminapi.Grant{
				BackendServer: r.Server, Request: grant.ID.Request, Attempt: grant.ID.Attempt, Workspace: grant.Workspace,
				PromptTokens: grant.PromptTokens, ExpiryMS: grant.Expiry.Milliseconds(),
			})
		}
	}
	return s
}

// backendServer converts an entry of the fleet view; AgeMS is -1 if no row of the server was received yet.
func backendServer(now time.Time, e fleet.Entry) adminapi.BackendServer {
	age := int64(-1)
	if !e.RowCreatedAt.IsZero() {
		age = now.Sub(e.RowCreatedAt).Milliseconds()
	}
	return adminapi.BackendServer{
		Name: e.Server.Name, Address: e.Server.Address.String(), FailureDomain: e.Server.FailureDomain,
		Scheduler: e.Scheduler.Name, Models: e.Row.Models, WaitMS: e.Row.Wait.Milliseconds(), FreeBytes: e.Row.FreeBytes,
		Running: e.Row.Running, QueuedTokens: e.Row.QueuedTokens, ForLongPrompts: e.Row.ForLongPrompts,
		Leaving:   e.Row.Leaving,
		Unhealthy: e.Row.Unhealthy, AgeMS: age,
	}
}

func stateName(s protocol.MemberState) string {
	switch s {
	case protocol.StateAlive:
		return "alive"
	case protocol.StateSuspect:
		return "suspect"
	case protocol.StateLeaving:
		return "leaving"
	default:
		return "dead"
	}
}

func (h *Host) ownVersion() adminapi.HostVersion {
	v := h.config.Version()
	return adminapi.HostVersion{Host: h.self.Name, FailureDomain: h.self.FailureDomain, Revision: v.Revision, Digest: v.Digest}
}

// Versions returns the active configuration versions of all live hosts and of the entry hosts that the platform lists.
// The result of a host that could not be queried has its Error set.
func (h *Host) Versions(ctx context.Context) []adminapi.HostVersion {
	hosts := withListed(h.members.Alive(), h.inventory.Hosts())
	versions := make([]adminapi.HostVersion, len(hosts))
	var queries sync.WaitGroup
	for i, x := range hosts {
		queries.Go(func() { versions[i] = h.versionOf(ctx, x) })
	}
	queries.Wait()
	return versions
}

// withListed returns the live hosts and the entry hosts of the platform's list that are neither live nor leaving,
// ascending by name.
func withListed(alive []protocol.Host, listed []platformapi.Host) []protocol.Host {
	hosts := slices.Clone(alive)
	for _, x := range listed {
		known := slices.ContainsFunc(alive, func(a protocol.Host) bool { return a.Name == x.Name })
		if x.Kind == platformapi.KindEntry && !x.Leaving && !known {
			hosts = append(hosts, protocol.Host{Name: x.Name, Address: x.Address, FailureDomain: x.FailureDomain, Region: x.Region})
		}
	}
	slices.SortFunc(hosts, func(a, b protocol.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

func (h *Host) versionOf(ctx context.Context, x protocol.Host) adminapi.HostVersion {
	if x.Name == h.self.Name {
		return h.ownVersion()
	}
	v := adminapi.HostVersion{Host: x.Name, FailureDomain: x.FailureDomain}
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	// The response to a pull carries the peer's version, whichever version this host has.
	response, err := h.transport.Call(ctx, x.Address, &protocol.Message{PullConfig: &protocol.PullConfig{Have: h.config.Version()}})
	switch {
	case err != nil:
		v.Error = err.Error()
	case response.Config == nil:
		v.Error = "unexpected answer"
	default:
		v.Revision, v.Digest = response.Config.Version.Revision, response.Config.Version.Digest
	}
	return v
}
