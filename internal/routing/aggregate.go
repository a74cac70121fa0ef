package routing

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Aggregate sums up a model's backend servers of the view's own failure domain for hosts of the others.
func Aggregate(now time.Time, view *fleet.View, model string) protocol.Aggregate {
	a := protocol.Aggregate{FailureDomain: view.FailureDomain, Model: model}
	for i := range view.Entries {
		e := &view.Entries[i]
		if e.Server.FailureDomain != view.FailureDomain || !usableRow(e.Row, model) || stale(now, e, DefaultStale) {
			continue
		}
		a.Region = e.Server.Region
		if a.Servers == 0 || e.Row.Wait < a.BestWait {
			a.BestWait, a.Best = e.Row.Wait, e.Server.Name
		}
		if e.Row.Long && (a.BestLong == "" || e.Row.Backlog < a.BestBacklog) {
			a.BestBacklog, a.BestLong = e.Row.Backlog, e.Server.Name
		}
		a.Servers++
		a.FreeBytes += e.Row.FreeBytes
		a.MaxFreeBytes = max(a.MaxFreeBytes, e.Row.FreeBytes)
	}
	return a
}

func usableRow(row protocol.Row, model string) bool {
	return !row.Leaving && !row.Unhealthy && serves(row, model)
}

func stale(now time.Time, e *fleet.Entry, limit time.Duration) bool {
	return e.Updated.IsZero() || now.Sub(e.Updated) > limit
}
