package storm

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/retry"
)

const (
	measure       = "storm"
	seeds         = 5
	targetGoodput = 0.95
)

// Run records the figures of seeded runs in which a third of the backend servers die and come back.
func Run(r *report.Report) {
	var worstExtra, worstShare float64
	worstRecovery, worstOutage := 1.0, 1.0
	var slowest time.Duration
	for seed := range uint64(seeds) {
		x := Simulate(seed, func(*retry.Policy) {})
		worstExtra = max(worstExtra, float64(x.Extra)/Budget(x))
		worstShare = max(worstShare, float64(x.Extra)/float64(x.Requests))
		worstRecovery = min(worstRecovery, x.After/x.Before)
		worstOutage = min(worstOutage, x.During/x.Left)
		slowest = max(slowest, x.Slowest)
	}
	r.AtMost(measure, "attempts beyond the first that may have run, of the budget", "share", worstExtra, 1)
	r.Add(measure, "attempts beyond the first that may have run, per request", "attempts", worstShare)
	r.AtLeast(measure, "goodput after the servers came back, of that before", "share", worstRecovery, targetGoodput)
	r.Add(measure, "goodput while they are down, of the capacity left", "share", worstOutage)
	r.Add(measure, "latest final answer after the deadline", "ms", float64(slowest.Milliseconds()))
}

// Budget returns how many further attempts the policies allow for the requests of a run.
func Budget(x Result) float64 {
	perHost := retry.DefaultBudgetBurst + retry.DefaultBudgetPerSecond*runTime.Seconds()
	return retry.DefaultBudgetRatio*float64(x.Requests) + hostCount*perHost
}
