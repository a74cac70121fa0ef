package latency

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
	firstTarget   = 1100 * time.Millisecond
	gapTarget     = 28 * time.Millisecond
	withinTarget  = 0.95
	slowdownLimit = 1.2
	targetLoad    = 0.8
)

const (
	duration = 200 * time.Second
	warmup   = 20 * time.Second
	seed     = 7
	alone    = 2000 // prompts of the lower bound
)

// policy is a way to schedule under measurement.
type policy struct {
	name   string
	policy routing.Policy
}

// Run measures the policies at three loads, and the slowdown of short prompts with both weights.
func Run(r *report.Report) {
	policies := []policy{
		{"scheduled", routing.PolicyLeastCost},
		{"power_of_two", routing.PolicyPowerOfTwo},
		{"round_robin", routing.PolicyRoundRobin},
	}
	for _, load := range []float64{0.5, targetLoad, 0.95} {
		for _, p := range policies {
			res := drive.Run(config(load, p.policy, document.ObjectiveShortSlowdown))
			add(r, fmt.Sprintf("%s %.0f%%", p.name, load*100), res, p.policy == routing.PolicyLeastCost && load == targetLoad)
		}
	}
	prioritized := config(targetLoad, routing.PolicyPowerOfTwo, document.ObjectiveShortSlowdown)
	prioritized.Prioritize = true
	add(r, "power_of_two_prioritized 80%", drive.Run(prioritized), false)
	add(r, "one_idle_engine", drive.Bound(seed, drive.DefaultMix(), alone), false)
	slowdown(r)
}

func config(load float64, p routing.Policy, w document.Objective) drive.Config {
	return drive.Config{
		Seed: seed, Load: load, Mix: drive.DefaultMix(), Policy: p, Objective: w,
		Duration: duration, Warmup: warmup,
	}
}

func add(r *report.Report, name string, res *drive.Result, target bool) {
	for l := drive.LengthShort; l < drive.Lengths; l++ {
		c := res.Class[l]
		for _, q := range []float64{50, 95, 99} {
			r.Add("first_token", fmt.Sprintf("%s %s p%.0f", name, l, q), "s", c.First(q).Seconds())
		}
		r.Add("served", fmt.Sprintf("%s %s", name, l), "part", float64(c.Completed)/float64(max(c.Arrived, 1)))
	}
	upTo := res.UpTo(drive.LengthMiddle)
	if target {
		r.AtLeast("first_token_within_1.1s", name+" up to 32k", "part", upTo.Within(firstTarget), withinTarget)
		r.AtMost("token_gap", name+" up to 32k p95", "ms", upTo.Gap(95).Seconds()*1000, gapTarget.Seconds()*1000)
		return
	}
	r.Add("first_token_within_1.1s", name+" up to 32k", "part", upTo.Within(firstTarget))
	r.Add("token_gap", name+" up to 32k p95", "ms", upTo.Gap(95).Seconds()*1000)
}

// slowdown compares the short prompts' first token with and without the longest prompts beside them.
func slowdown(r *report.Report) {
	for _, w := range []document.Objective{document.ObjectiveShortSlowdown, document.ObjectiveFirstToken} {
		with := drive.Run(config(targetLoad, routing.PolicyLeastCost, w))
		c := config(targetLoad, routing.PolicyLeastCost, w)
		c.Mix = c.Mix.Without(drive.LengthLargest)
		without := drive.Run(c)
		ratio := with.Class[drive.LengthShort].First(95).Seconds() / without.Class[drive.LengthShort].First(95).Seconds()
		if w == document.ObjectiveShortSlowdown {
			r.AtMost("short_slowdown", string(w), "ratio", ratio, slowdownLimit)
		} else {
			r.Add("short_slowdown", string(w), "ratio", ratio)
		}
		for l := drive.LengthShort; l < drive.Lengths; l++ {
			r.Add("first_token_by_weight", fmt.Sprintf("%s %s p95", w, l), "s", with.Class[l].First(95).Seconds())
		}
	}
}
