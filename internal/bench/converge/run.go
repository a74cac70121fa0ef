package converge

import (
	"fmt"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	loadLimitPerMinute = 4 // share of one failure domain, if three share a limit of 12
	timeLimit          = time.Hour
	maxTimeRatio       = 1.25 // highest ratio of the measured time to the shortest possible time
	enginesPerLoad     = 4    // one engine in this many, at least one, may be without the model at a time
)

// Run measures the time from a change of the document until the engines match it, and the loads that this takes.
func Run(r *report.Report) {
	for _, engines := range []int{6, 40} {
		d := newDomain(engines, loadLimitPerMinute, false)
		d.document = documentWith("2")
		took := d.converge(timeLimit)
		name := fmt.Sprintf("%d engines, %d loads a minute", engines, loadLimitPerMinute)
		r.Add("engines_converge", name, "s", took.Seconds())
		r.AtMost("engines_converge_over_least", name, "times", took.Seconds()/shortestTime(engines).Seconds(), maxTimeRatio)
		r.AtMost("engines_loads", name, "orders", float64(d.commands), float64(engines))
	}
	measureTakeover(r, "engines that check", false)
	measureTakeover(r, "engines that do not check", true)
	measureLateCommand(r)
}

// Returns the shortest possible time to convergence, which is limited by the rate of loads and by the number of engines
// that may be without the model at a time.
func shortestTime(engines int) time.Duration {
	paced := time.Duration(float64(engines-1)/loadLimitPerMinute*float64(time.Minute)) + loadTime
	rounds := (engines + max(1, engines/enginesPerLoad) - 1) / max(1, engines/enginesPerLoad)
	return max(paced, time.Duration(rounds)*loadTime)
}

// Measures how long no command is sent if the host that holds the lease fails at the moment when the document changes.
func measureTakeover(r *report.Report, name string, unfenced bool) {
	d := newDomain(6, loadLimitPerMinute, unfenced)
	d.document = documentWith("2")
	d.leaseOwner.dead = true
	start := d.now
	d.converge(timeLimit)
	r.Add("controller_takeover", name, "s", d.firstCommand.Sub(start).Seconds())
}

// Measures how long an engine that does not check fencing numbers keeps the wrong version that a late command loaded.
func measureLateCommand(r *report.Report) {
	d := newDomain(6, loadLimitPerMinute, true)
	d.document = documentWith("2")
	d.converge(timeLimit)
	d.engines[0].State.Loaded = []engineapi.Loaded{{Model: "m", Version: "1"}}
	r.Add("controller_late_order_undone", "engine that does not check", "s", d.converge(timeLimit).Seconds())
}
