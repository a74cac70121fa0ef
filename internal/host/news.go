package host

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/summary"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Limits of the gossip in one probe or acknowledgment, and of a pull.
const (
	maxUsagePerProbe      = 2               // usage rows
	maxAggregatesPerProbe = 1               // aggregates of other failure domains
	pullTimeout           = 2 * time.Second // of one pull of the host list
)

// gossip collects the state that this host sends to others with heartbeats and merges the state that it receives.
type gossip struct {
	host *Host

	mu        sync.Mutex
	summaries summary.Table
	pulling   bool // a pull of the host list is in progress; there is one at a time
	lastUsage int  // index of the own usage row that was sent last
}

// FillProbe adds this host's gossip to a probe. Hosts of other failure domains receive only aggregates of this failure
// domain in place of its rows and usage.
func (g *gossip) FillProbe(p *protocol.Probe, to protocol.Host) {
	p.Manifest = protocol.ManifestVersion{Revision: g.host.config.Version().Revision}
	p.HostsIndex = g.host.inventory.Index()
	p.Suspicions = g.host.suspects.Gossip(time.Now())
	if to.FailureDomain != g.host.self.FailureDomain {
		p.Aggregates = g.ownAggregates()
		return
	}
	p.Rows = g.rows()
	p.Aggregates = g.forwardedAggregates()
	p.Usage = g.nextUsage()
}

// FillAck adds this host's gossip to the acknowledgment of a probe.
func (g *gossip) FillAck(a *protocol.Ack, to protocol.Host) {
	var p protocol.Probe
	g.FillProbe(&p, to)
	a.Manifest, a.HostsIndex, a.Suspicions = p.Manifest, p.HostsIndex, p.Suspicions
	a.Rows, a.Aggregates, a.Usage = p.Rows, p.Aggregates, p.Usage
}

// HandleProbe merges the gossip in a peer's probe and pulls the peer's host list if it is newer.
func (g *gossip) HandleProbe(p *protocol.Probe) {
	now := time.Now()
	h := g.host
	if h.suspects.Merge(now, p.Suspicions) {
		h.forwardSuspicions(p.From)
	}
	g.mu.Lock()
	g.summaries.MergeAggregates(now, g.dropOwnAggregates(p.Aggregates))
	g.mu.Unlock()
	if p.From.FailureDomain == h.self.FailureDomain {
		g.mu.Lock()
		g.summaries.Merge(now, p.Rows)
		g.mu.Unlock()
		h.quota.Merge(now, withSender(p.From, p.Usage))
	}
	h.distributor.recordVersion(p.From.Name, p.Manifest)
	if p.HostsIndex > h.inventory.Index() {
		g.startHostListPull(p.From)
	}
}

// HandleAck merges the gossip in a peer's acknowledgment, like HandleProbe.
func (g *gossip) HandleAck(a *protocol.Ack) {
	g.HandleProbe(&protocol.Probe{
		From: a.From, Manifest: a.Manifest, HostsIndex: a.HostsIndex, Suspicions: a.Suspicions,
		Rows: a.Rows, Aggregates: a.Aggregates, Usage: a.Usage,
	})
}

// rows returns the scheduler rows to send with the next probe, of this host and of others of the failure domain.
func (g *gossip) rows() []protocol.Row {
	own := g.host.schedulers.Rows()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summaries.Merge(now, own)
	return g.summaries.NextRows(now, summary.MaxRowsPerProbe)
}

// responseRows returns the rows to send with the response to a grant request.
func (g *gossip) responseRows() []protocol.Row {
	own := g.host.schedulers.Rows()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summaries.Merge(now, own)
	return g.summaries.RowsForResponse(now, g.host.self.Name)
}

// addRows merges the rows that came with the response to a grant request.
func (g *gossip) addRows(rows []protocol.Row) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summaries.Merge(time.Now(), rows)
}

// nextUsage returns the next few of this host's own usage rows, in round-robin order. They leave out the host and its
// incarnation, which the receiver sets from the sender of the message.
func (g *gossip) nextUsage() []protocol.Usage {
	all := g.host.quota.Usage(time.Now())
	slices.SortFunc(all, func(a, b protocol.Usage) int { return strings.Compare(a.Workspace, b.Workspace) })
	g.mu.Lock()
	defer g.mu.Unlock()
	var rows []protocol.Usage
	for range min(len(all), maxUsagePerProbe) {
		g.lastUsage = (g.lastUsage + 1) % len(all)
		row := all[g.lastUsage]
		row.Host, row.Incarnation = "", 0
		rows = append(rows, row)
	}
	return rows
}

// withSender sets the host of usage rows to the sender of the message that they came with.
func withSender(host protocol.Host, rows []protocol.Usage) []protocol.Usage {
	for i := range rows {
		rows[i].Host, rows[i].Incarnation = host.Name, host.Incarnation
	}
	return rows
}

// rowsAndVersion returns all known rows of the failure domain, and their version, which grows with each changed row.
func (g *gossip) rowsAndVersion() ([]protocol.Row, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.summaries.Rows(time.Now()), g.summaries.Version()
}

// postOwnRows merges the rows of this host's schedulers and returns the version of all rows.
func (g *gossip) postOwnRows() uint64 {
	own := g.host.schedulers.Rows()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summaries.Merge(time.Now(), own)
	return g.summaries.Version()
}

// ownAggregates returns one aggregate of this failure domain for each model, for hosts of other failure domains. It
// returns nil if the host has no configuration yet.
func (g *gossip) ownAggregates() []protocol.Aggregate {
	d := g.host.Document()
	if d == nil {
		return nil
	}
	now := time.Now()
	view := g.host.fleet.View()
	aggregates := make([]protocol.Aggregate, len(d.Models))
	for i := range d.Models {
		aggregates[i] = routing.Aggregate(now, view, d.Models[i].Name)
		aggregates[i].Region = g.host.self.Region
	}
	return aggregates
}

// remoteAggregates returns the known aggregates of other failure domains.
func (g *gossip) remoteAggregates() []protocol.Aggregate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.summaries.RemoteAggregates(time.Now())
}

// forwardedAggregates returns the aggregates of other failure domains to forward with the next probe.
func (g *gossip) forwardedAggregates() []protocol.Aggregate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.summaries.NextAggregates(time.Now(), maxAggregatesPerProbe)
}

// dropOwnAggregates returns aggregates without those of this failure domain.
func (g *gossip) dropOwnAggregates(aggregates []protocol.Aggregate) []protocol.Aggregate {
	return slices.DeleteFunc(aggregates, func(a protocol.Aggregate) bool {
		return a.FailureDomain == g.host.self.FailureDomain
	})
}

func (g *gossip) setHostCount(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summaries.Hosts = count
}

// startHostListPull fetches a peer's newer copy of the host list in the background, unless another pull is in progress.
func (g *gossip) startHostListPull(from protocol.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pulling {
		return
	}
	g.pulling = true
	go func() {
		defer func() {
			g.mu.Lock()
			g.pulling = false
			g.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		g.pullHostList(ctx, from)
	}()
}

func (g *gossip) pullHostList(ctx context.Context, from protocol.Host) {
	have := g.host.inventory.Index()
	response, err := g.host.transport.Call(ctx, from.Address, &protocol.Message{PullHosts: &protocol.PullHosts{Have: have}})
	if err != nil || response.HostList == nil {
		g.host.metrics.Scope.Counter("host_list_pulls_failed").Inc(1)
		return
	}
	g.host.inventory.UpdateIfNewer(platformapi.Hosts{Index: response.HostList.Index, Hosts: response.HostList.Hosts})
}
