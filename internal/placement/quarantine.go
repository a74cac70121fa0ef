package placement

import (
	"log/slog"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// recordOutcome records at the local planner, too, how a request of this host has ended, so that this host knows what
// crashes replicas when it plans itself or reports to another planner.
func (c *Client) recordOutcome(now time.Time, placed *placedRequest, outcome planner.Outcome) {
	writing := time.Duration(0)
	if !placed.writingSince.IsZero() {
		writing = now.Sub(placed.writingSince)
	}
	c.localPlanner.RecordOutcome(now, &placed.placement.Request, &placed.replica, writing, outcome)
}

// recordVerdicts logs what crashes replicas when that has changed.
func (c *Client) recordVerdicts(now time.Time, digest uint64) {
	if digest == c.verdictDigest {
		return
	}
	c.verdictDigest = digest
	quarantined := 0
	for _, v := range c.localPlanner.Quarantine().Verdicts(now) {
		if !v.Quarantined() {
			continue
		}
		quarantined++
		c.Log.Warn("quarantine_changed", slog.String("content", v.Content.String()),
			slog.Int("generation", int(v.Generation)), eventlog.Milliseconds("left_ms", v.Left))
	}
	c.Metrics.Gauge("quarantined").Update(float64(quarantined))
}
