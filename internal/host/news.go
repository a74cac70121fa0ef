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

const (
	maxUsagePerProbe      = 2
	maxAggregatesPerProbe = 1
	pullTimeout           = 2 * time.Second
)

// Gathers what this host tells others and takes in what they tell.
type news struct {
	host *Host

	mu      sync.Mutex
	board   summary.Board
	pulling bool // one pull at a time
	turn    int  // of the usage rows
}

// Fill adds this host's news to a probe.
func (n *news) Fill(p *protocol.Probe, to protocol.Host) {
	p.Manifest = protocol.ManifestVersion{Revision: n.host.keeper.Version().Revision}
	p.HostsIndex = n.host.inventory.Index()
	p.Suspicions = n.host.suspects.Recent(time.Now())
	if to.FailureDomain != n.host.self.FailureDomain {
		p.Aggregates = n.ownAggregates()
		return
	}
	p.Rows = n.rows()
	p.Aggregates = n.passOnAggregates()
	p.Usage = n.usage()
}

// FillAck adds this host's news to an answer.
func (n *news) FillAck(a *protocol.Ack, to protocol.Host) {
	var p protocol.Probe
	n.Fill(&p, to)
	a.Manifest, a.HostsIndex, a.Suspicions = p.Manifest, p.HostsIndex, p.Suspicions
	a.Rows, a.Aggregates, a.Usage = p.Rows, p.Aggregates, p.Usage
}

// Take takes in a peer's news.
func (n *news) Take(p *protocol.Probe) {
	now := time.Now()
	h := n.host
	if h.suspects.Merge(now, p.Suspicions) {
		h.relaySuspicions(p.From)
	}
	n.mu.Lock()
	n.board.PostAggregates(now, n.foreign(p.Aggregates))
	n.mu.Unlock()
	if p.From.FailureDomain == h.self.FailureDomain {
		n.mu.Lock()
		n.board.Post(now, p.Rows)
		n.mu.Unlock()
		h.quota.Merge(now, from(p.From, p.Usage))
	}
	h.spreading.heard(p.From.Name, p.Manifest)
	if p.HostsIndex > h.inventory.Index() {
		n.pull(p.From)
	}
}

// TakeAck takes in the news of a peer's answer.
func (n *news) TakeAck(a *protocol.Ack) {
	n.Take(&protocol.Probe{
		From: a.From, Manifest: a.Manifest, HostsIndex: a.HostsIndex, Suspicions: a.Suspicions,
		Rows: a.Rows, Aggregates: a.Aggregates, Usage: a.Usage,
	})
}

func (n *news) rows() []protocol.Row {
	own := n.host.schedulers.Rows()
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.board.Post(now, own)
	return n.board.Pick(now, summary.MaxRowsPerProbe)
}

// Returns the rows that go with the answer to an ask.
func (n *news) answerRows() []protocol.Row {
	own := n.host.schedulers.Rows()
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.board.Post(now, own)
	return n.board.Answer(now, n.host.self.Name)
}

// Takes in the rows that came with the answer to an ask.
func (n *news) takeRows(rows []protocol.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.board.Post(time.Now(), rows)
}

// Returns the next few of this host's own usage rows, in turn; the receiver knows whose they are.
func (n *news) usage() []protocol.Usage {
	all := n.host.quota.Usage(time.Now())
	slices.SortFunc(all, func(a, b protocol.Usage) int { return strings.Compare(a.Workspace, b.Workspace) })
	n.mu.Lock()
	defer n.mu.Unlock()
	var rows []protocol.Usage
	for range min(len(all), maxUsagePerProbe) {
		n.turn = (n.turn + 1) % len(all)
		row := all[n.turn]
		row.Host, row.Incarnation = "", 0
		rows = append(rows, row)
	}
	return rows
}

func from(host protocol.Host, rows []protocol.Usage) []protocol.Usage {
	for i := range rows {
		rows[i].Host, rows[i].Incarnation = host.Name, host.Incarnation
	}
	return rows
}

// Returns all known rows of the failure domain and their version.
func (n *news) all() ([]protocol.Row, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.board.Rows(time.Now()), n.board.Version()
}

// Takes in the own rows and returns the version of all.
func (n *news) version() uint64 {
	own := n.host.schedulers.Rows()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.board.Post(time.Now(), own)
	return n.board.Version()
}

// Sums the own failure domain up for the hosts of the others.
func (n *news) ownAggregates() []protocol.Aggregate {
	d := n.host.Document()
	if d == nil {
		return nil
	}
	now := time.Now()
	view := n.host.fleet.View()
	aggregates := make([]protocol.Aggregate, len(d.Models))
	for i := range d.Models {
		aggregates[i] = routing.Aggregate(now, view, d.Models[i].Name)
		aggregates[i].Region = n.host.self.Region
	}
	return aggregates
}

// Returns the aggregates of other failure domains.
func (n *news) aggregates() []protocol.Aggregate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.board.RemoteAggregates(time.Now())
}

func (n *news) passOnAggregates() []protocol.Aggregate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.board.PickAggregates(time.Now(), maxAggregatesPerProbe)
}

func (n *news) foreign(aggregates []protocol.Aggregate) []protocol.Aggregate {
	return slices.DeleteFunc(aggregates, func(a protocol.Aggregate) bool {
		return a.FailureDomain == n.host.self.FailureDomain
	})
}

func (n *news) setHosts(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.board.Hosts = count
}

// Fetches a peer's newer copy of the host list.
func (n *news) pull(from protocol.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pulling {
		return
	}
	n.pulling = true
	go func() {
		defer func() {
			n.mu.Lock()
			n.pulling = false
			n.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		n.pullHosts(ctx, from)
	}()
}

func (n *news) pullHosts(ctx context.Context, from protocol.Host) {
	have := n.host.inventory.Index()
	answer, err := n.host.transport.Call(ctx, from.Address, &protocol.Message{PullHosts: &protocol.PullHosts{Have: have}})
	if err != nil || answer.HostList == nil {
		n.host.metrics.Scope.Counter("host_list_pulls_failed").Inc(1)
		return
	}
	n.host.inventory.Offer(platformapi.Hosts{Index: answer.HostList.Index, Hosts: answer.HostList.Hosts})
}
