package cache

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/drive"
	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/routing"
)

const (
	hitRateTarget = 0.9             // lowest hit rate, as a share of that with perfect events
	eventLag      = 2 * time.Second // delay of cache events
	eventLoss     = 0.1             // share of cache events that are lost
)

const (
	load                  = 0.8
	documentsPerWorkspace = 8   // documents that prompts of each workspace share
	sharedPromptShare     = 0.6 // probability that a prompt begins with a shared document
	duration              = 80 * time.Second
	warmup                = 30 * time.Second
	seedCount             = 3
)

// Run measures the hit rate with cache events that are delayed or lost, and compares it with the rates with perfect
// events, without affinity and with the power-of-two policy.
func Run(r *report.Report) {
	perfectRate := measureHitRate(r, "perfect events", config())
	lossy := config()
	lossy.CacheLag, lossy.CacheLoss = eventLag, eventLoss
	lossyRate := measureHitRate(r, "late and lost events", lossy)
	withoutAffinity := config()
	withoutAffinity.Tune = func(_ *grant.Scheduler, router *routing.Router) {
		if router != nil {
			router.DisablePrefixAffinity = true
		}
	}
	measureHitRate(r, "without affinity", withoutAffinity)
	baseline := config()
	baseline.Policy = routing.PolicyPowerOfTwo
	measureHitRate(r, "power_of_two", baseline)
	r.AtLeast("prefix_hits_of_perfect", "events 2 s late, a tenth lost", "part", lossyRate/perfectRate, hitRateTarget)
}

func config() drive.Config {
	mix := drive.DefaultMix()
	mix.Documents, mix.Shared = documentsPerWorkspace, sharedPromptShare
	return drive.Config{Load: load, Mix: mix, Objective: document.ObjectiveFirstToken, Duration: duration, Warmup: warmup}
}

// measureHitRate runs a configuration with each seed and records the hit rate and the time to the first token. It
// returns the hit rate: the share of the tokens of shared documents that were found in a cache, over all seeds.
func measureHitRate(r *report.Report, name string, c drive.Config) float64 {
	var cached, shareable int64
	first := time.Duration(0)
	for seed := range uint64(seedCount) {
		c.Seed = seed + 1
		res := drive.Run(c)
		cached += res.CachedTokens
		shareable += res.SharedTokens
		first += res.UpTo(drive.LengthMiddle).First(95) / seedCount
	}
	rate := float64(cached) / float64(shareable)
	r.Add("prefix_hits", name, "part", rate)
	r.Add("first_token", name+" up to 32k p95", "s", first.Seconds())
	return rate
}
