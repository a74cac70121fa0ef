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

// Run simulates 1,000 seeds and records the totals.
func Run(r *report.Report) {
	var total Result
	for i := range runs {
		result := Simulate(uint64(firstSeed+i), func(Machines) {})
		total.Held += result.Held
		total.Settled += result.Settled
		total.CutOff += result.CutOff
		total.Requests += result.Requests
		total.Answered += result.Answered
	}
	r.AtMost(measure, "held after all deadlines and grace", "bytes", float64(total.Held), 0)
	r.AtMost(measure, "freed under a living owner before its expiry", "allocations", float64(total.CutOff), 0)
	r.Add(measure, "held for living hosts before the expiries, a run", "GiB", float64(total.Settled)/runs/gigabyte)
	r.Add(measure, "requests", "requests", float64(total.Requests))
	r.Add(measure, "requests answered in spite of the faults", "share", float64(total.Answered)/float64(total.Requests))
}
