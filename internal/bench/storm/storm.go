package storm

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/retry"
)

const (
	measure       = "storm"
	seeds         = 5
	goodputTarget = 0.95
)

// Run simulates several seeds, in each of which a third of the backend servers crash and come back, and records the
// worst figures.
func Run(r *report.Report) {
	var worstExtra, worstShare float64
	worstRecovery, worstOutage := 1.0, 1.0
	var slowest time.Duration
	for seed := range uint64(seeds) {
		result := Simulate(seed, func(*retry.Policy) {})
		worstExtra = max(worstExtra, float64(result.Extra)/Budget(result))
		worstShare = max(worstShare, float64(result.Extra)/float64(result.Requests))
		worstRecovery = min(worstRecovery, result.After/result.Before)
		worstOutage = min(worstOutage, result.During/result.Left)
		slowest = max(slowest, result.Slowest)
	}
	r.AtMost(measure, "attempts beyond the first that may have run, of the budget", "share", worstExtra, 1)
	r.Add(measure, "attempts beyond the first that may have run, per request", "attempts", worstShare)
	r.AtLeast(measure, "goodput after the servers came back, of that before", "share", worstRecovery, goodputTarget)
	r.Add(measure, "goodput while they are down, of the capacity left", "share", worstOutage)
	r.Add(measure, "latest final answer after the deadline", "ms", float64(slowest.Milliseconds()))
}

// Budget returns how many attempts beyond the first the retry budgets of all hosts allow for the requests of a run.
func Budget(result Result) float64 {
	perHost := retry.DefaultBudgetBurst + retry.DefaultBudgetPerSecond*runTime.Seconds()
	return retry.DefaultBudgetRatio*float64(result.Requests) + hostCount*perHost
}
