package routing

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Spillover limits. A request is also offered to another failure domain if the shortest predicted wait among its local
// candidates exceeds the wait limit and the wait in the other failure domain is shorter by more than the margin.
const (
	spilloverWait       = 100 * time.Millisecond
	spilloverMargin     = 50 * time.Millisecond
	longSpilloverWait   = 2 * time.Second
	longSpilloverMargin = time.Second
)

// spillover returns the best backend server of the other failure domains if the predicted wait on every chosen one
// exceeds the spillover wait and the wait there is shorter by more than the margin. Otherwise it returns false.
func (r *Router) spillover(view *fleet.View, chosen []scoredEntry, req protocol.GrantRequest) (*fleet.Entry, bool) {
	long := r.isLong(req.PromptTokens)
	localWait := time.Duration(-1)
	for _, c := range chosen {
		if w := predictedWait(c.entry.Row, long); localWait < 0 || w < localWait {
			localWait = w
		}
	}
	limit, margin := spilloverWait, spilloverMargin
	if long {
		limit, margin = longSpilloverWait, longSpilloverMargin
	}
	if localWait <= limit {
		return nil, false
	}
	return r.bestRemote(view, req, localWait-margin, nil)
}

// remoteCandidates returns the best backend server of the other failure domains, for a request that no backend server
// of its own failure domain can serve. It returns nil if there is none.
func (r *Router) remoteCandidates(view *fleet.View, req protocol.GrantRequest, exclude []string) []Candidate {
	e, ok := r.bestRemote(view, req, 1<<62, exclude)
	if !ok {
		return nil
	}
	return toCandidates([]scoredEntry{{entry: e}})
}

// bestRemote returns the backend server of the other failure domains with the shortest predicted wait, according to the
// aggregates. For a long prompt it compares the backlogs of the backend servers for long prompts, and for a failure
// domain without any of these the shortest wait there. It returns false if no wait is below limit or the view has no
// entry for the backend server.
func (r *Router) bestRemote(
	view *fleet.View, req protocol.GrantRequest, limit time.Duration, exclude []string,
) (*fleet.Entry, bool) {
	long := r.isLong(req.PromptTokens)
	name := ""
	for i := range view.Aggregates {
		a := &view.Aggregates[i]
		best, wait := a.Best, a.BestWait
		if long && a.BestForLongPrompts != "" {
			best, wait = a.BestForLongPrompts, a.BestBacklog
		}
		if a.Servers > 0 && a.Model == req.Model && wait < limit && !excluded(exclude, best) {
			name, limit = best, wait
		}
	}
	if name == "" {
		return nil, false
	}
	return findEntry(view, name)
}

// findEntry returns a pointer to the entry of the named backend server in view. It returns false if there is none.
func findEntry(view *fleet.View, name string) (*fleet.Entry, bool) {
	for i := range view.Entries {
		if view.Entries[i].Server.Name == name {
			return &view.Entries[i], true
		}
	}
	return nil, false
}

// predictedWait returns how long a prompt waits for its prefill: for a long one the time to prefill everything that is
// granted or queued, for a short one the predicted wait of short prompts.
func predictedWait(row protocol.Row, long bool) time.Duration {
	if long {
		return row.Backlog
	}
	return row.Wait
}
