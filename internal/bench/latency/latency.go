package latency

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
	firstTokenTarget  = 1100 * time.Millisecond
	tokenGapTarget    = 28 * time.Millisecond
	withinTargetShare = 0.95 // lowest share of prompts up to 32k whose first token comes within firstTokenTarget
	slowdownTarget    = 1.2  // highest ratio that measureSlowdown may find with WeightShortSlowdown
	targetLoad        = 0.8  // share of the capacity at which the targets apply
)

const (
	duration          = 200 * time.Second
	warmup            = 20 * time.Second
	seed              = 7
	lowerBoundPrompts = 2000 // prompts that are run alone on an idle engine to find the lower bound of latencies
)

// policy is a scheduling policy and its name in the report.
type policy struct {
	name   string
	policy routing.Policy
}

// Run measures each policy at three loads, the power-of-two policy whose engines prefer shorter prompts, the lower
// bound of latencies, and the slowdown of short prompts with both weights.
func Run(r *report.Report) {
	policies := []policy{
		{"scheduled", routing.PolicyLeastCost},
		{"power_of_two", routing.PolicyPowerOfTwo},
		{"round_robin", routing.PolicyRoundRobin},
	}
	for _, load := range []float64{0.5, targetLoad, 0.95} {
		for _, p := range policies {
			res := drive.Run(config(load, p.policy, document.ObjectiveShortSlowdown))
			addLatencies(r, fmt.Sprintf("%s %.0f%%", p.name, load*100), res,
				p.policy == routing.PolicyLeastCost && load == targetLoad)
		}
	}
	prioritized := config(targetLoad, routing.PolicyPowerOfTwo, document.ObjectiveShortSlowdown)
	prioritized.Prioritize = true
	addLatencies(r, "power_of_two_prioritized 80%", drive.Run(prioritized), false)
	addLatencies(r, "one_idle_engine", drive.Bound(seed, drive.DefaultMix(), lowerBoundPrompts), false)
	measureSlowdown(r)
}

func config(load float64, p routing.Policy, w document.Objective) drive.Config {
	return drive.Config{
		Seed: seed, Load: load, Mix: drive.DefaultMix(), Policy: p, Objective: w,
		Duration: duration, Warmup: warmup,
	}
}

// addLatencies records the latencies and the share of completed requests of a run. With compare, the figures that have
// targets are compared with them.
func addLatencies(r *report.Report, name string, res *drive.Result, compare bool) {
	for l := drive.LengthShort; l < drive.Lengths; l++ {
		c := res.Class[l]
		for _, q := range []float64{50, 95, 99} {
			r.Add("first_token", fmt.Sprintf("%s %s p%.0f", name, l, q), "s", c.First(q).Seconds())
		}
		r.Add("served", fmt.Sprintf("%s %s", name, l), "part", float64(c.Completed)/float64(max(c.Arrived, 1)))
	}
	upTo := res.UpTo(drive.LengthMiddle)
	if compare {
		r.AtLeast("first_token_within_1.1s", name+" up to 32k", "part", upTo.Within(firstTokenTarget), withinTargetShare)
		r.AtMost("token_gap", name+" up to 32k p95", "ms", upTo.Gap(95).Seconds()*1000, tokenGapTarget.Seconds()*1000)
		return
	}
	r.Add("first_token_within_1.1s", name+" up to 32k", "part", upTo.Within(firstTokenTarget))
	r.Add("token_gap", name+" up to 32k p95", "ms", upTo.Gap(95).Seconds()*1000)
}

// measureSlowdown measures, for each weight, the ratio of the 95th percentiles of the time to the first token of the
// shortest prompts, with and without the longest prompts in the mix.
func measureSlowdown(r *report.Report) {
	for _, w := range []document.Objective{document.ObjectiveShortSlowdown, document.ObjectiveFirstToken} {
		with := drive.Run(config(targetLoad, routing.PolicyLeastCost, w))
		c := config(targetLoad, routing.PolicyLeastCost, w)
		c.Mix = c.Mix.Without(drive.LengthLargest)
		without := drive.Run(c)
		ratio := with.Class[drive.LengthShort].First(95).Seconds() / without.Class[drive.LengthShort].First(95).Seconds()
		if w == document.ObjectiveShortSlowdown {
			r.AtMost("short_slowdown", string(w), "ratio", ratio, slowdownTarget)
		} else {
			r.Add("short_slowdown", string(w), "ratio", ratio)
		}
		for l := drive.LengthShort; l < drive.Lengths; l++ {
			r.Add("first_token_by_weight", fmt.Sprintf("%s %s p95", w, l), "s", with.Class[l].First(95).Seconds())
		}
	}
}
