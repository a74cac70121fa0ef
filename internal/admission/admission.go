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
	DefaultMaxRowAge = 3 * time.Second
	DefaultTolerance = 1.25
)

type (
	// Controller refuses requests whose prefill can't end within the time they have left. It is safe for concurrent use.
	Controller struct {
		MaxRowAge time.Duration // age up to which a row is used; 0 means DefaultMaxRowAge
		Tolerance float64       // factor on the time left, which allows for outdated rows; 0 means DefaultTolerance
	}

	// Decision tells whether a request is admitted. Kind and RetryAfter are set only if OK is false.
	Decision struct {
		OK         bool
		Kind       outcome.Kind
		RetryAfter time.Duration
	}
)

// Decide refuses a request only if fresh rows of all usable backend servers of the failure domain show that none of
// them can end its prefill within the time left times the tolerance, and if no aggregate shows a wait below the time
// left in another failure domain. A backend server is usable if it is not leaving, is healthy and serves the model.
// Decide admits the request if there is none. RetryAfter of a refusal is the smallest overrun.
func (c *Controller) Decide(now time.Time, view *fleet.View, req protocol.GrantRequest) Decision {
	minOverrun := time.Duration(-1)
	for i := range view.Entries {
		e := &view.Entries[i]
		if e.Server.FailureDomain != view.FailureDomain || e.Row.Leaving || e.Row.Unhealthy || !serves(e.Row, req.Model) {
			continue
		}
		overrun, known := c.overrun(now, e, req)
		if !known || overrun <= 0 {
			return Decision{OK: true}
		}
		if minOverrun < 0 || overrun < minOverrun {
			minOverrun = overrun
		}
	}
	for _, a := range view.Aggregates {
		if a.Model == req.Model && a.Servers > 0 && a.BestWait < req.TimeLeft {
			return Decision{OK: true}
		}
	}
	if minOverrun < 0 {
		return Decision{OK: true}
	}
	return Decision{Kind: outcome.KindOverloaded, RetryAfter: minOverrun}
}

// serves reports whether the row's backend server serves the model. A row without models serves any model.
func serves(row protocol.Row, model string) bool {
	return len(row.Models) == 0 || model == "" || slices.Contains(row.Models, model)
}

// overrun returns by how much the end of the prefill on a backend server would exceed the request's time left times the
// tolerance; it is negative if there is time to spare. known is false without a fresh row, a prefill rate or
// any time left.
func (c *Controller) overrun(now time.Time, e *fleet.Entry, req protocol.GrantRequest) (overrun time.Duration,
	known bool,
) {
	maxAge := c.MaxRowAge
	if maxAge <= 0 {
		maxAge = DefaultMaxRowAge
	}
	if e.RowCreatedAt.IsZero() || now.Sub(e.RowCreatedAt) > maxAge || e.Row.PrefillRate <= 0 || req.TimeLeft <= 0 {
		return 0, false
	}
	tolerance := c.Tolerance
	if tolerance <= 0 {
		tolerance = DefaultTolerance
	}
	prefill := time.Duration(float64(req.PromptTokens) / e.Row.PrefillRate * float64(time.Second))
	limit := time.Duration(float64(req.TimeLeft) * tolerance)
	return e.Row.Wait + prefill - limit, true
}
