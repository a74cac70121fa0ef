package spread

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
)

const (
	manyChanges   = 20
	fewChanges    = 5 // where one change takes many messages
	betweenChange = 6 * time.Second
	bodyBytes     = 8 << 10
	maxMillis     = 60_000
	targetMillis  = 4_000
	targetGrowth  = 1.1
	smallHosts    = 20
	largeHosts    = 360
)

// result is what one setting costs and how long a change takes to be in force on a host.
type result struct {
	times          *hdrhistogram.Histogram // milliseconds
	missing        int                     // hosts without a change when the next one came
	bytesPerHost   float64                 // per change
	callsPerChange float64
}

// Run measures time in force, bytes and store calls of a change for each way to spread it.
func Run(r *report.Report) {
	for _, way := range []way{watchAll, flooding, tree} {
		changes := manyChanges
		if way == flooding {
			changes = fewChanges
		}
		small := run(r, setting{way: way, hosts: smallHosts, domains: 3, loss: 0.05, changes: manyChanges})
		large := run(r, setting{way: way, hosts: largeHosts, domains: 3, loss: 0.05, changes: changes})
		if way == tree {
			growth := large.callsPerChange / small.callsPerChange
			r.AtMost("config_store_calls_growth", "edges_tree, 20 to 360 hosts", "times", growth, targetGrowth)
		}
	}
	for _, hosts := range []int{smallHosts, 120, largeHosts} {
		run(r, setting{way: tree, hosts: hosts, domains: 3, loss: 0.05, cutOff: 1, changes: manyChanges})
	}
}

func run(r *report.Report, s setting) result {
	got := measure(s, 1)
	name := s.String()
	r.Add("config_in_force_p50", name, "ms", float64(got.times.ValueAtPercentile(50)))
	if s.way == tree {
		r.AtMost("config_in_force_p99", name, "ms", float64(got.times.ValueAtPercentile(99)), targetMillis)
		r.AtMost("config_hosts_missed", name, "hosts", float64(got.missing), 0)
	} else {
		r.Add("config_in_force_p99", name, "ms", float64(got.times.ValueAtPercentile(99)))
	}
	r.Add("config_in_force_max", name, "ms", float64(got.times.Max()))
	r.Add("config_bytes_per_host", name, "B", got.bytesPerHost)
	r.Add("config_store_calls_per_change", name, "calls", got.callsPerChange)
	return got
}

// String names the setting as cases of the report do.
func (s setting) String() string {
	names := map[way]string{watchAll: "watch_all", flooding: "flooding", tree: "edges_tree"}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %d hosts, %.0f%% loss", names[s.way], s.hosts, s.loss*100)
	if s.cutOff > 0 {
		fmt.Fprintf(&b, ", %d of %d domains cut off from the store", s.cutOff, s.domains)
	}
	return b.String()
}

// Accepts changes one after the other, each at a random host that reaches the store.
func measure(s setting, seed uint64) result {
	w := newWorld(s, seed)
	got := result{times: hdrhistogram.New(1, maxMillis, 3)}
	w.run(heartbeat)
	for i := range s.changes {
		acceptor := w.hosts[w.rnd.IntN(len(w.hosts))]
		for acceptor.cutOff {
			acceptor = w.hosts[w.rnd.IntN(len(w.hosts))]
		}
		accepted := w.now
		version := w.accept(acceptor, body(i))
		w.run(betweenChange)
		for _, n := range w.hosts {
			if n.state.Version() != version {
				got.missing++
				continue
			}
			_ = got.times.RecordValue(max(1, n.inForce.Sub(accepted).Milliseconds())) // in range by betweenChange
		}
	}
	got.bytesPerHost = float64(w.bytes) / float64(s.changes) / float64(s.hosts)
	got.callsPerChange = float64(w.calls) / float64(s.changes)
	return got
}

// Returns the canonical text of a services section of about bodyBytes.
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
