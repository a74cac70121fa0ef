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
	hitTarget = 0.9 // of the hit rate with perfect events
	eventLag  = 2 * time.Second
	eventLoss = 0.1
)

const (
	load      = 0.8
	documents = 8 // for each workspace
	shared    = 0.6
	duration  = 80 * time.Second
	warmup    = 30 * time.Second
	seeds     = 3
)

// Run compares the hit rate with late and lost cache events with that of perfect events and of the baselines.
func Run(r *report.Report) {
	perfect := add(r, "perfect events", config())
	late := config()
	late.CacheLag, late.CacheLoss = eventLag, eventLoss
	lossy := add(r, "late and lost events", late)
	plain := config()
	plain.Tune = func(_ *grant.Scheduler, router *routing.Router) {
		if router != nil {
			router.DisablePrefixAffinity = true
		}
	}
	add(r, "without affinity", plain)
	baseline := config()
	baseline.Policy = routing.PolicyPowerOfTwo
	add(r, "power_of_two", baseline)
	r.AtLeast("prefix_hits_of_perfect", "events 2 s late, a tenth lost", "part", lossy/perfect, hitTarget)
}

func config() drive.Config {
	mix := drive.DefaultMix()
	mix.Documents, mix.Shared = documents, shared
	return drive.Config{Load: load, Mix: mix, Objective: document.ObjectiveFirstToken, Duration: duration, Warmup: warmup}
}

// add returns the part of the tokens of shared documents that were found in a cache, over all seeds.
func add(r *report.Report, name string, c drive.Config) float64 {
	var cached, most int64
	first := time.Duration(0)
	for seed := range uint64(seeds) {
		c.Seed = seed + 1
		res := drive.Run(c)
		cached += res.CachedTokens
		most += res.SharedTokens
		first += res.UpTo(drive.LengthMiddle).First(95) / seeds
	}
	rate := float64(cached) / float64(most)
	r.Add("prefix_hits", name, "part", rate)
	r.Add("first_token", name+" up to 32k p95", "s", first.Seconds())
	return rate
}
