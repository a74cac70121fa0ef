package overload

import (
	"fmt"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/drive"
	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/routing"
)

// Targets.
const (
	goodputTarget = 0.9 // of the peak
	refusalTarget = 10 * time.Millisecond
	shareTarget   = 0.5 // of what each workspace asks for, or of an even share if that is less
	retryTarget   = 0.1 // retries over requests, the budget
)

const (
	duration = 110 * time.Second
	warmup   = 40 * time.Second
	killAt   = 60 * time.Second
	seed     = 11
)

// Run measures goodput from half the capacity to five times it, with the baseline beside it, and a loss of engines.
func Run(r *report.Report) {
	curve(r, "scheduled", routing.PolicyScheduled, []float64{0.8, 1.2, 2, 5})
	curve(r, "power_of_two", routing.PolicyPowerOfTwo, []float64{0.8, 2, 5})
	kill(r)
	flood(r)
	limits(r)
}

func config(load float64, p routing.Policy) drive.Config {
	return drive.Config{
		Seed: seed, Load: load, Mix: drive.DefaultMix(), Policy: p, Weight: document.WeightFirstToken,
		Duration: duration, Warmup: warmup,
	}
}

// goodput is the completed prompt tokens per second.
func goodput(res *drive.Result) float64 {
	return float64(res.GoodTokens) / (duration - warmup).Seconds()
}

func curve(r *report.Report, name string, p routing.Policy, loads []float64) {
	peak := 0.0
	for _, load := range loads {
		res := drive.Run(config(load, p))
		g := goodput(res)
		peak = max(peak, g)
		label := fmt.Sprintf("%s %gx", name, load)
		r.Add("goodput", label, "tokens/s", g)
		if load >= 2 && p == routing.PolicyScheduled {
			r.AtLeast("goodput_of_peak", label, "part", g/peak, goodputTarget)
			r.AtLeast("least_workspace_share", label, "part", leastShare(res), shareTarget)
			r.AtMost("refusal_answer_time", label, "ms", res.RefusalTime.Seconds()*1000, refusalTarget.Seconds()*1000)
		} else if load >= 2 {
			r.Add("goodput_of_peak", label, "part", g/peak)
			r.Add("least_workspace_share", label, "part", leastShare(res))
		}
		outcomes(r, label, res)
	}
}

func outcomes(r *report.Report, label string, res *drive.Result) {
	sum := res.Sum()
	arrived := float64(max(sum.Arrived, 1))
	r.Add("refused", label, "part", float64(sum.Refused)/arrived)
	r.Add("admitted_but_late", label, "part", float64(sum.Late)/arrived)
	r.Add("refused_beside_idle_engine", label, "part", float64(res.Idle)/arrived)
	r.Add("first_token_p95", label+" 1-4k", "s", res.Class[drive.LengthShort].First(95).Seconds())
}

// leastShare is the least part that a workspace got of what it asked for, or of an even share if it asked for more.
func leastShare(res *drive.Result) float64 {
	least := 1.0
	even := float64(res.Sum().Completed) / float64(len(res.Workspace))
	for _, w := range res.Workspace {
		least = min(least, float64(w.Completed)/min(float64(w.Arrived), even))
	}
	return least
}

// flood lets one of six workspaces send most of four times the capacity.
func flood(r *report.Report) {
	c := config(4, routing.PolicyScheduled)
	c.Mix.Workspaces = []float64{0.8, 0.04, 0.04, 0.04, 0.04, 0.04}
	r.AtLeast("least_workspace_share", "one workspace floods 4x", "part", leastShare(drive.Run(c)), shareTarget)
}

// kill takes a third of the engines away at once.
func kill(r *report.Report) {
	c := config(0.8, routing.PolicyScheduled)
	c.KillAt, c.Kill = killAt, 1.0/3
	res := drive.Run(c)
	sum := res.Sum()
	r.Add("goodput", "a third of the engines die at 0.8x", "tokens/s", goodput(res))
	r.AtMost("retries", "a third of the engines die at 0.8x", "part", float64(res.Retries)/float64(max(sum.Arrived, 1)), retryTarget)
	outcomes(r, "a third of the engines die at 0.8x", res)
}
