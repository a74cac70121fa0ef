package spread

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
)

const (
	changeCount           = 20
	floodingChangeCount   = 5 // for flooding, where each change takes many messages
	changeInterval        = 6 * time.Second
	bodyBytes             = 8 << 10
	maxRecordedMillis     = 60_000
	p99TargetMillis       = 4_000
	storeCallGrowthTarget = 1.1
	smallHosts            = 20
	largeHosts            = 360
)

// result holds what a change costs under one setting and how long it takes to become active on a host.
type result struct {
	activationTimes *hdrhistogram.Histogram // from acceptance until active on a host, in ms
	missing         int                     // hosts that did not have a change when the next one was accepted
	bytesPerHost    float64                 // mean bytes sent per change
	callsPerChange  float64
}

// Run measures, for each strategy, the time until a change is active on a host, and the bytes and store calls that it
// takes.
func Run(r *report.Report) {
	for _, strategy := range []strategy{watchAll, flooding, tree} {
		changes := changeCount
		if strategy == flooding {
			changes = floodingChangeCount
		}
		small := run(r, setting{strategy: strategy, hosts: smallHosts, domains: 3, loss: 0.05, changes: changeCount})
		large := run(r, setting{strategy: strategy, hosts: largeHosts, domains: 3, loss: 0.05, changes: changes})
		if strategy == tree {
			growth := large.callsPerChange / small.callsPerChange
			r.AtMost("config_store_calls_growth", "edges_tree, 20 to 360 hosts", "times", growth, storeCallGrowthTarget)
		}
	}
	for _, hosts := range []int{smallHosts, 120, largeHosts} {
		run(r, setting{strategy: tree, hosts: hosts, domains: 3, loss: 0.05, domainsWithoutStore: 1, changes: changeCount})
	}
}

func run(r *report.Report, s setting) result {
	got := measure(s, 1)
	name := s.String()
	r.Add("config_in_force_p50", name, "ms", float64(got.activationTimes.ValueAtPercentile(50)))
	if s.strategy == tree {
		r.AtMost("config_in_force_p99", name, "ms", float64(got.activationTimes.ValueAtPercentile(99)), p99TargetMillis)
		r.AtMost("config_hosts_missed", name, "hosts", float64(got.missing), 0)
	} else {
		r.Add("config_in_force_p99", name, "ms", float64(got.activationTimes.ValueAtPercentile(99)))
	}
	r.Add("config_in_force_max", name, "ms", float64(got.activationTimes.Max()))
	r.Add("config_bytes_per_host", name, "B", got.bytesPerHost)
	r.Add("config_store_calls_per_change", name, "calls", got.callsPerChange)
	return got
}

// String returns the setting's case name in the report.
func (s setting) String() string {
	names := map[strategy]string{watchAll: "watch_all", flooding: "flooding", tree: "edges_tree"}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %d hosts, %.0f%% loss", names[s.strategy], s.hosts, s.loss*100)
	if s.domainsWithoutStore > 0 {
		fmt.Fprintf(&b, ", %d of %d domains cut off from the store", s.domainsWithoutStore, s.domains)
	}
	return b.String()
}

// Accepts the setting's number of changes one after the other, each at a random host that can reach the store, and
// records their costs.
func measure(s setting, seed uint64) result {
	sim := newSimulation(s, seed)
	got := result{activationTimes: hdrhistogram.New(1, maxRecordedMillis, 3)}
	sim.run(heartbeatInterval)
	for i := range s.changes {
		acceptor := sim.hosts[sim.rnd.IntN(len(sim.hosts))]
		for acceptor.storeUnreachable {
			acceptor = sim.hosts[sim.rnd.IntN(len(sim.hosts))]
		}
		accepted := sim.now
		version := sim.acceptChange(acceptor, body(i))
		sim.run(changeInterval)
		for _, n := range sim.hosts {
			if n.state.Version() != version {
				got.missing++
				continue
			}
			// Never out of the histogram's range: changeInterval is below maxRecordedMillis.
			_ = got.activationTimes.RecordValue(max(1, n.activeSince.Sub(accepted).Milliseconds()))
		}
	}
	got.bytesPerHost = float64(sim.bytes) / float64(s.changes) / float64(s.hosts)
	got.callsPerChange = float64(sim.calls) / float64(s.changes)
	return got
}

// Returns the canonical text of a services section of at least bodyBytes, which differs for each change.
func body(change int) []byte {
	var b strings.Builder
	b.WriteByte('[')
	for i := 0; b.Len() < bodyBytes; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"service-%04d","deadline":"%ds"}`, i, change+1)
	}
	b.WriteByte(']')
	return []byte(b.String())
}
