package converge

import (
	"fmt"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	loadsPerMin = 4 // of a failure domain: a limit of 12 shared by three
	limit       = time.Hour
	slackTimes  = 1.25 // that the least possible time may be exceeded by
	atOnce      = 4    // one in this many engines may be without the model at a time
)

// Run measures the time from a changed document to engines that match it.
func Run(r *report.Report) {
	for _, engines := range []int{6, 40} {
		d := newDomain(engines, loadsPerMin, false)
		d.document = wanted("2")
		took := d.converge(limit)
		name := fmt.Sprintf("%d engines, %d loads a minute", engines, loadsPerMin)
		r.Add("engines_converge", name, "s", took.Seconds())
		r.AtMost("engines_converge_over_least", name, "times", took.Seconds()/least(engines).Seconds(), slackTimes)
		r.AtMost("engines_loads", name, "orders", float64(d.orders), float64(engines))
	}
	takeover(r, "engines that check", false)
	takeover(r, "engines that do not check", true)
	late(r)
}

// Returns how long it takes at least: the loads are paced, and only some engines may be without the model at a time.
func least(engines int) time.Duration {
	paced := time.Duration(float64(engines-1)/loadsPerMin*float64(time.Minute)) + loadTime
	rounds := (engines + max(1, engines/atOnce) - 1) / max(1, engines/atOnce)
	return max(paced, time.Duration(rounds)*loadTime)
}

// Measures how long no order is sent after the host in charge dies as the document changes.
func takeover(r *report.Report, name string, unfenced bool) {
	d := newDomain(6, loadsPerMin, unfenced)
	d.document = wanted("2")
	d.owner.dead = true
	start := d.now
	d.converge(limit)
	r.Add("controller_takeover", name, "s", d.first.Sub(start).Seconds())
}

// Measures how long an engine that does not check has the wrong version after a late order.
func late(r *report.Report) {
	d := newDomain(6, loadsPerMin, true)
	d.document = wanted("2")
	d.converge(limit)
	d.engines[0].State.Loaded = []engineapi.Loaded{{Model: "m", Version: "1"}}
	r.Add("controller_late_order_undone", "engine that does not check", "s", d.converge(limit).Seconds())
}
