package overload

import (
	"fmt"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/drive"
	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/routing"
)

// Targets of the measurements.
const (
	goodputTarget     = 0.9 // lowest goodput as a share of the peak
	refusalTimeTarget = 10 * time.Millisecond
	shareTarget       = 0.5 // lowest share of a workspace of what it requests, or of an even share if that is less
	retryRatioTarget  = 0.1 // highest ratio of retries to requests, which is the retry budget
)

const (
	duration       = 110 * time.Second
	warmup         = 40 * time.Second
	engineLossTime = 60 * time.Second
	seed           = 11
)

// Run measures goodput and refusals from 0.8 to 5 times the capacity, with the power-of-two policy as the baseline,
// after a loss of engines and while one workspace floods, and it measures workspace limits.
func Run(r *report.Report) {
	measureGoodput(r, "scheduled", routing.PolicyLeastCost, []float64{0.8, 1.2, 2, 5})
	measureGoodput(r, "power_of_two", routing.PolicyPowerOfTwo, []float64{0.8, 2, 5})
	measureEngineLoss(r)
	measureFlooding(r)
	measureLimits(r)
}

func config(load float64, p routing.Policy) drive.Config {
	return drive.Config{
		Seed: seed, Load: load, Mix: drive.DefaultMix(), Policy: p, Objective: document.ObjectiveFirstToken,
		Duration: duration, Warmup: warmup,
	}
}

// goodput returns the prompt tokens of completed requests per second after the warm-up.
func goodput(res *drive.Result) float64 {
	return float64(res.GoodTokens) / (duration - warmup).Seconds()
}

func measureGoodput(r *report.Report, name string, p routing.Policy, loads []float64) {
	peak := 0.0
	for _, load := range loads {
		res := drive.Run(config(load, p))
		rate := goodput(res)
		peak = max(peak, rate)
		label := fmt.Sprintf("%s %gx", name, load)
		r.Add("goodput", label, "tokens/s", rate)
		if load >= 2 && p == routing.PolicyLeastCost {
			r.AtLeast("goodput_of_peak", label, "part", rate/peak, goodputTarget)
			r.AtLeast("least_workspace_share", label, "part", leastShare(res), shareTarget)
			r.AtMost("refusal_answer_time", label, "ms", res.RefusalTime.Seconds()*1000, refusalTimeTarget.Seconds()*1000)
		} else if load >= 2 {
			r.Add("goodput_of_peak", label, "part", rate/peak)
			r.Add("least_workspace_share", label, "part", leastShare(res))
		}
		addOutcomes(r, label, res)
	}
}

func addOutcomes(r *report.Report, label string, res *drive.Result) {
	sum := res.Sum()
	arrived := float64(max(sum.Arrived, 1))
	r.Add("refused", label, "part", float64(sum.Refused)/arrived)
	r.Add("admitted_but_late", label, "part", float64(sum.Late)/arrived)
	r.Add("refused_beside_idle_engine", label, "part", float64(res.Idle)/arrived)
	r.Add("first_token_p95", label+" 1-4k", "s", res.Class[drive.LengthShort].First(95).Seconds())
}

// leastShare returns the lowest share that any workspace got of the requests it sent, or of an even share of the
// completed requests if it sent more than that.
func leastShare(res *drive.Result) float64 {
	least := 1.0
	even := float64(res.Sum().Completed) / float64(len(res.Workspace))
	for _, w := range res.Workspace {
		least = min(least, float64(w.Completed)/min(float64(w.Arrived), even))
	}
	return least
}

// measureFlooding measures the least share while one of six workspaces sends 80 % of a load of four times the capacity.
func measureFlooding(r *report.Report) {
	c := config(4, routing.PolicyLeastCost)
	c.Mix.Workspaces = []float64{0.8, 0.04, 0.04, 0.04, 0.04, 0.04}
	r.AtLeast("least_workspace_share", "one workspace floods 4x", "part", leastShare(drive.Run(c)), shareTarget)
}

// measureEngineLoss measures goodput and retries when a third of the engines fail at the same time.
func measureEngineLoss(r *report.Report) {
	c := config(0.8, routing.PolicyLeastCost)
	c.KillAt, c.Kill = engineLossTime, 1.0/3
	res := drive.Run(c)
	sum := res.Sum()
	r.Add("goodput", "a third of the engines die at 0.8x", "tokens/s", goodput(res))
	r.AtMost("retries", "a third of the engines die at 0.8x", "part",
		float64(res.Retries)/float64(max(sum.Arrived, 1)), retryRatioTarget)
	addOutcomes(r, "a third of the engines die at 0.8x", res)
}
