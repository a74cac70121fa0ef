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
	step                    = 100 * time.Millisecond
	probeInterval           = 500 * time.Millisecond
	rowUpdateInterval       = 500 * time.Millisecond
	warmUp                  = 20 * time.Second
	duration                = 60 * time.Second
	ringProbes              = 2   // following hosts that each host probes in every interval
	grantRequestsPerRequest = 2.5 // mean number of grant requests that a request sends to schedulers
	maxAgeMillis            = 120_000
	significantDigits       = 3
	seed                    = 7
)

// Target of the age of rows; routing gives less weight to older ones.
const rowAgeTarget = 3 * time.Second

// Target of the bytes a second that a host sends and receives for rows. It is what the membership messages leave of the
// host's 8,000 bytes a second.
const rowTrafficTarget = 2500.0

type size struct {
	name    string
	hosts   int
	engines int
	rate    float64 // requests per second of each host
}

// Run measures a failure domain of today's size and one of the size expected in two years, the latter also without
// requests.
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
	random           *rand.Rand
	now              time.Time
	start            time.Time
	tables           []*summary.Table
	ownRows          [][]protocol.Row // by scheduling host
	bytes            []int64
	ages             *hdrhistogram.Histogram
	rowsMissing      int
	grantRequests    int64
	responseRowBytes int64
	rowsExpected     int
}

func newDomain(s size) *domain {
	d := &domain{
		size: s, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), start: time.Unix(0, 0),
		tables: make([]*summary.Table, s.hosts), ownRows: make([][]protocol.Row, s.hosts), bytes: make([]int64, s.hosts),
		ages: hdrhistogram.New(1, maxAgeMillis, significantDigits),
	}
	hosts := make([]protocol.Host, s.hosts)
	for i := range hosts {
		hosts[i].Name = "e" + strconv.Itoa(i)
		d.tables[i] = &summary.Table{Hosts: s.hosts}
	}
	for i := range s.engines {
		name := "g" + strconv.Itoa(i)
		owner, _ := routing.Owner(name, hosts)
		n, _ := strconv.Atoi(owner.Name[1:])
		d.ownRows[n] = append(d.ownRows[n], protocol.Row{
			Server: name, Scheduler: owner.Name, CapacityBytes: 50 << 30, BytesPerToken: 131072,
			Models: []string{"tender-large"}, PrefillRate: 40000, DecodeRate: 50,
		})
	}
	return d
}

func (d *domain) run() {
	for ; d.now.Sub(d.start) < duration; d.now = d.now.Add(step) {
		elapsed := d.now.Sub(d.start)
		if elapsed%rowUpdateInterval == 0 {
			d.updateRows()
		}
		for i := range d.tables {
			d.runHost(i, elapsed)
		}
		if elapsed >= warmUp && elapsed%time.Second == 0 {
			d.recordAges()
		}
	}
}

// Updates all rows at their scheduling hosts, as the load reports of the backend servers do.
func (d *domain) updateRows() {
	for i, rows := range d.ownRows {
		for j := range rows {
			rows[j].Revision++
			rows[j].Wait = time.Duration(d.random.IntN(500)) * time.Millisecond
			rows[j].FreeBytes = d.random.Int64N(50 << 30)
		}
		d.tables[i].Merge(d.now, rows)
	}
}

// Runs one step of a host: sends the probes that are due and the grant requests of the requests that arrive.
func (d *domain) runHost(i int, elapsed time.Duration) {
	if (elapsed+time.Duration(i)*step)%probeInterval == 0 {
		for k := 1; k <= ringProbes; k++ {
			d.probe(i, (i+k)%d.hosts)
		}
		if d.random.IntN(2) == 0 {
			d.probe(i, d.random.IntN(d.hosts))
		}
	}
	expected := d.rate * grantRequestsPerRequest * step.Seconds()
	for ; expected > 0; expected-- {
		if d.random.Float64() < expected {
			d.requestGrant(i)
		}
	}
}

// Simulates a probe from host i to host j and its response, both of which carry rows.
func (d *domain) probe(i, j int) {
	if i == j {
		return
	}
	d.sendRows(i, j, d.tables[i].NextRows(d.now, summary.MaxRowsPerProbe))
	d.sendRows(j, i, d.tables[j].NextRows(d.now, summary.MaxRowsPerProbe))
}

func (d *domain) sendRows(from, to int, rows []protocol.Row) {
	size := encodedBytes(rows)
	d.bytes[from] += size
	d.bytes[to] += size
	d.tables[to].Merge(d.now, rows)
}

func encodedBytes(rows []protocol.Row) int64 {
	var size int64
	for _, row := range rows {
		body, err := cbor.Marshal(row)
		if err != nil {
			panic(err) // can't happen: rows can always be encoded
		}
		size += int64(len(body))
	}
	return size
}

// Simulates a grant request from host i to a random host, whose response carries rows too. Their bytes are counted
// separately, as part of the request's traffic.
func (d *domain) requestGrant(i int) {
	j := d.random.IntN(d.hosts)
	if j == i {
		return
	}
	rows := d.tables[j].RowsForResponse(d.now, "e"+strconv.Itoa(j))
	d.grantRequests++
	d.responseRowBytes += encodedBytes(rows)
	d.tables[i].Merge(d.now, rows)
}

// Records the age of each row at each host, and how many rows are missing.
func (d *domain) recordAges() {
	for _, b := range d.tables {
		rows := b.Rows(d.now)
		d.rowsExpected += d.engines
		d.rowsMissing += d.engines - len(rows)
		for _, row := range rows {
			_ = d.ages.RecordValue(max(row.Age.Milliseconds(), 1))
		}
	}
}

func (d *domain) report(r *report.Report, name string) {
	var largest int64
	for _, b := range d.bytes {
		largest = max(largest, b)
	}
	r.AtMost("summaries", name+": bytes of a host for rows, most", "B/s",
		float64(largest)/duration.Seconds(), rowTrafficTarget)
	r.Add("summaries", name+": age of a row p50", "s", float64(d.ages.ValueAtQuantile(50))/1000)
	if d.rate > 0 {
		r.Add("summaries", name+": bytes of rows in the answer to an ask", "B",
			float64(d.responseRowBytes)/float64(d.grantRequests))
		r.AtMost("summaries", name+": age of a row p95", "s",
			float64(d.ages.ValueAtQuantile(95))/1000, rowAgeTarget.Seconds())
	} else {
		r.Add("summaries", name+": age of a row p95", "s", float64(d.ages.ValueAtQuantile(95))/1000)
	}
	r.Add("summaries", fmt.Sprintf("%s: rows unknown", name), "part",
		float64(d.rowsMissing)/float64(max(d.rowsExpected, 1)))
}
