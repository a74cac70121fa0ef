package summaries

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/summary"
)

const (
	step          = 100 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	reportPeriod  = 500 * time.Millisecond
	warmUp        = 20 * time.Second
	duration      = 60 * time.Second
	ringProbes    = 2
	asksPerStart  = 2.5 // schedulers that a request asks on average
	maxAgeMillis  = 120_000
	digits        = 3
	seed          = 7
)

// Rows older than this count for less in routing.
const maxAge = 3 * time.Second

// What a host has for rows beside the membership's messages, sent and received, of its 8,000 bytes a second.
const rowBytes = 2500.0

type size struct {
	name    string
	hosts   int
	engines int
	rate    float64 // requests per second and host
}

// Run measures the failure domains of today and of the two-year size.
func Run(r *report.Report) {
	sizes := []size{
		{"7 hosts, 6 engines", 7, 6, 5},
		{"72 hosts, 162 engines", 72, 162, 12.2},
		{"72 hosts, 162 engines, no requests", 72, 162, 0},
	}
	for _, s := range sizes {
		d := newDomain(s)
		d.run()
		d.report(r, s.name)
	}
}

type domain struct {
	size
	random   *rand.Rand
	now      time.Time
	start    time.Time
	boards   []*summary.Table
	owned    [][]protocol.Row // by host
	bytes    []int64
	ages     *hdrhistogram.Histogram
	absent   int
	asks     int64
	askBytes int64
	looked   int
}

func newDomain(s size) *domain {
	d := &domain{
		size: s, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), start: time.Unix(0, 0),
		boards: make([]*summary.Table, s.hosts), owned: make([][]protocol.Row, s.hosts), bytes: make([]int64, s.hosts),
		ages: hdrhistogram.New(1, maxAgeMillis, digits),
	}
	hosts := make([]protocol.Host, s.hosts)
	for i := range hosts {
		hosts[i].Name = "e" + strconv.Itoa(i)
		d.boards[i] = &summary.Table{Hosts: s.hosts}
	}
	for i := range s.engines {
		name := "g" + strconv.Itoa(i)
		owner, _ := routing.Owner(name, hosts)
		n, _ := strconv.Atoi(owner.Name[1:])
		d.owned[n] = append(d.owned[n], protocol.Row{
			Server: name, Scheduler: owner.Name, CapacityBytes: 50 << 30, BytesPerToken: 131072,
			Models: []string{"tender-large"}, PrefillRate: 40000, DecodeRate: 50,
		})
	}
	return d
}

func (d *domain) run() {
	for ; d.now.Sub(d.start) < duration; d.now = d.now.Add(step) {
		passed := d.now.Sub(d.start)
		if passed%reportPeriod == 0 {
			d.change()
		}
		for i := range d.boards {
			d.host(i, passed)
		}
		if passed >= warmUp && passed%time.Second == 0 {
			d.look()
		}
	}
}

// Changes all rows, as load reports do.
func (d *domain) change() {
	for i, rows := range d.owned {
		for j := range rows {
			rows[j].Revision++
			rows[j].Wait = time.Duration(d.random.IntN(500)) * time.Millisecond
			rows[j].FreeBytes = d.random.Int64N(50 << 30)
		}
		d.boards[i].Merge(d.now, rows)
	}
}

// Lets one host send what is due in this step.
func (d *domain) host(i int, passed time.Duration) {
	if (passed+time.Duration(i)*step)%probeInterval == 0 {
		for k := 1; k <= ringProbes; k++ {
			d.exchange(i, (i+k)%d.hosts)
		}
		if d.random.IntN(2) == 0 {
			d.exchange(i, d.random.IntN(d.hosts))
		}
	}
	asks := d.rate * asksPerStart * step.Seconds()
	for ; asks > 0; asks-- {
		if d.random.Float64() < asks {
			d.ask(i)
		}
	}
}

// A probe and its answer.
func (d *domain) exchange(i, j int) {
	if i == j {
		return
	}
	d.send(i, j, d.boards[i].NextRows(d.now, summary.MaxRowsPerProbe))
	d.send(j, i, d.boards[j].NextRows(d.now, summary.MaxRowsPerProbe))
}

func (d *domain) send(from, to int, rows []protocol.Row) {
	size := encodedBytes(rows)
	d.bytes[from] += size
	d.bytes[to] += size
	d.boards[to].Merge(d.now, rows)
}

func encodedBytes(rows []protocol.Row) int64 {
	var size int64
	for _, row := range rows {
		body, err := cbor.Marshal(row)
		if err != nil {
			panic(err) // rows always encode
		}
		size += int64(len(body))
	}
	return size
}

// The answer to an ask carries rows too; their bytes belong to the request.
func (d *domain) ask(i int) {
	j := d.random.IntN(d.hosts)
	if j == i {
		return
	}
	rows := d.boards[j].RowsForResponse(d.now, "e"+strconv.Itoa(j))
	d.asks++
	d.askBytes += encodedBytes(rows)
	d.boards[i].Merge(d.now, rows)
}

// Records how old the rows are at each host.
func (d *domain) look() {
	for _, b := range d.boards {
		rows := b.Rows(d.now)
		d.looked += d.engines
		d.absent += d.engines - len(rows)
		for _, row := range rows {
			_ = d.ages.RecordValue(max(row.Age.Milliseconds(), 1))
		}
	}
}

func (d *domain) report(r *report.Report, name string) {
	var most int64
	for _, b := range d.bytes {
		most = max(most, b)
	}
	r.AtMost("summaries", name+": bytes of a host for rows, most", "B/s", float64(most)/duration.Seconds(), rowBytes)
	r.Add("summaries", name+": age of a row p50", "s", float64(d.ages.ValueAtQuantile(50))/1000)
	if d.rate > 0 {
		r.Add("summaries", name+": bytes of rows in the answer to an ask", "B", float64(d.askBytes)/float64(d.asks))
		r.AtMost("summaries", name+": age of a row p95", "s", float64(d.ages.ValueAtQuantile(95))/1000, maxAge.Seconds())
	} else {
		r.Add("summaries", name+": age of a row p95", "s", float64(d.ages.ValueAtQuantile(95))/1000)
	}
	r.Add("summaries", fmt.Sprintf("%s: rows unknown", name), "part", float64(d.absent)/float64(max(d.looked, 1)))
}
