package leak

import (
	"github.com/turmericshunt/turmericshunt/internal/bench/report"
)

const (
	measure   = "leak"
	runs      = 1000
	firstSeed = 1
	gigabyte  = 1 << 30
)

// Run records the figures of 1,000 seeded runs.
func Run(r *report.Report) {
	var sum Result
	for i := range runs {
		x := Simulate(uint64(firstSeed+i), func(Machines) {})
		sum.Held += x.Held
		sum.Settled += x.Settled
		sum.CutOff += x.CutOff
		sum.Requests += x.Requests
		sum.Answered += x.Answered
	}
	r.AtMost(measure, "held after all deadlines and grace", "bytes", float64(sum.Held), 0)
	r.AtMost(measure, "freed under a living owner before its expiry", "allocations", float64(sum.CutOff), 0)
	r.Add(measure, "held for living hosts before the expiries, a run", "GiB", float64(sum.Settled)/runs/gigabyte)
	r.Add(measure, "requests", "requests", float64(sum.Requests))
	r.Add(measure, "requests answered in spite of the faults", "share", float64(sum.Answered)/float64(sum.Requests))
}
