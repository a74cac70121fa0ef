package routing

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Aggregate summarizes, for hosts of other failure domains, the backend servers of the view's own failure domain that
// serve the model. It leaves out those that are leaving or unhealthy and those whose row is older than
// DefaultMaxRowAge.
func Aggregate(now time.Time, view *fleet.View, model string) protocol.Aggregate {
	a := protocol.Aggregate{FailureDomain: view.FailureDomain, Model: model}
	for i := range view.Entries {
		e := &view.Entries[i]
		if e.Server.FailureDomain != view.FailureDomain || !isUsable(e.Row, model) || isStale(now, e, DefaultMaxRowAge) {
			continue
		}
		a.Region = e.Server.Region
		if a.Servers == 0 || e.Row.Wait < a.BestWait {
			a.BestWait, a.Best = e.Row.Wait, e.Server.Name
		}
		if e.Row.ForLongPrompts && (a.BestForLongPrompts == "" || e.Row.Backlog < a.BestBacklog) {
			a.BestBacklog, a.BestForLongPrompts = e.Row.Backlog, e.Server.Name
		}
		a.Servers++
		a.FreeBytes += e.Row.FreeBytes
		a.MaxFreeBytes = max(a.MaxFreeBytes, e.Row.FreeBytes)
	}
	return a
}

// isUsable reports whether the row's backend server accepts requests for the model.
func isUsable(row protocol.Row, model string) bool {
	return !row.Leaving && !row.Unhealthy && serves(row, model)
}

// isStale reports whether the entry has no row or one older than limit.
func isStale(now time.Time, e *fleet.Entry, limit time.Duration) bool {
	return e.RowCreatedAt.IsZero() || now.Sub(e.RowCreatedAt) > limit
}
