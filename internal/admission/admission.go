package admission

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Defaults of the exported fields of Controller.
const (
	DefaultFresh     = 3 * time.Second
	DefaultTolerance = 1.25
)

type (
	// Controller refuses requests that can't finish in their time; it is safe for concurrent use.
	Controller struct {
		Fresh     time.Duration // age up to which a row is believed; 0 means DefaultFresh
		Tolerance float64       // factor on the time left that rows' lag is allowed for; 0 means DefaultTolerance
	}

	// Verdict says whether a request is admitted; Kind and RetryAfter are set when it is not.
	Verdict struct {
		OK         bool
		Kind       outcome.Kind
		RetryAfter time.Duration
	}
)

// Decide refuses an ask only if fresh rows of all backend servers of the failure domain show that none can finish it
// in its time, and the aggregates of the other failure domains show no better.
func (c *Controller) Decide(now time.Time, view *fleet.View, ask protocol.Ask) Verdict {
	least := time.Duration(-1)
	for i := range view.Entries {
		e := &view.Entries[i]
		if e.Server.FailureDomain != view.FailureDomain || e.Row.Leaving || e.Row.Unhealthy || !serves(e.Row, ask.Model) {
			continue
		}
		late, known := c.late(now, e, ask)
		if !known || late <= 0 {
			return Verdict{OK: true}
		}
		if least < 0 || late < least {
			least = late
		}
	}
	for _, a := range view.Aggregates {
		if a.Model == ask.Model && a.Servers > 0 && a.BestWait < ask.TimeLeft {
			return Verdict{OK: true}
		}
	}
	if least < 0 {
		return Verdict{OK: true}
	}
	return Verdict{Kind: outcome.KindOverloaded, RetryAfter: least}
}

func serves(row protocol.Row, model string) bool {
	return len(row.Models) == 0 || model == "" || slices.Contains(row.Models, model)
}

// late is by how much a backend server would miss the ask's time; it is unknown without a fresh row.
func (c *Controller) late(now time.Time, e *fleet.Entry, ask protocol.Ask) (late time.Duration, known bool) {
	fresh := c.Fresh
	if fresh <= 0 {
		fresh = DefaultFresh
	}
	if e.Updated.IsZero() || now.Sub(e.Updated) > fresh || e.Row.PrefillRate <= 0 || ask.TimeLeft <= 0 {
		return 0, false
	}
	tolerance := c.Tolerance
	if tolerance <= 0 {
		tolerance = DefaultTolerance
	}
	prefill := time.Duration(float64(ask.PromptTokens) / e.Row.PrefillRate * float64(time.Second))
	limit := time.Duration(float64(ask.TimeLeft) * tolerance)
	return e.Row.Wait + prefill - limit, true
}
