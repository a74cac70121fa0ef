package routing

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// When a request may leave its failure domain: the wait at home is above the limit and shorter by the margin elsewhere.
const (
	spillWait       = 100 * time.Millisecond
	spillMargin     = 50 * time.Millisecond
	spillLongWait   = 2 * time.Second
	spillLongMargin = time.Second
)

// spill returns a backend server of another failure domain if all of the chosen ones are too busy and it is not.
func (r *Router) spill(view *fleet.View, chosen []scored, ask protocol.Ask) (*fleet.Entry, bool) {
	long := r.long(ask.PromptTokens)
	home := time.Duration(-1)
	for _, c := range chosen {
		if w := rowWait(c.entry.Row, long); home < 0 || w < home {
			home = w
		}
	}
	limit, margin := spillWait, spillMargin
	if long {
		limit, margin = spillLongWait, spillLongMargin
	}
	if home <= limit {
		return nil, false
	}
	return r.foreign(view, ask, home-margin, nil)
}

// elsewhere lists backend servers of other failure domains for a request that its own can't serve at all.
func (r *Router) elsewhere(view *fleet.View, ask protocol.Ask, exclude []string) []Candidate {
	e, ok := r.foreign(view, ask, 1<<62, exclude)
	if !ok {
		return nil
	}
	return candidates([]scored{{entry: e}})
}

// foreign returns the best backend server of the other failure domains that has a wait below limit.
func (r *Router) foreign(view *fleet.View, ask protocol.Ask, limit time.Duration, exclude []string) (*fleet.Entry, bool) {
	long := r.long(ask.PromptTokens)
	name := ""
	for i := range view.Aggregates {
		a := &view.Aggregates[i]
		best, wait := a.Best, a.BestWait
		if long && a.BestLong != "" {
			best, wait = a.BestLong, a.BestBacklog
		}
		if a.Servers > 0 && a.Model == ask.Model && wait < limit && !excluded(exclude, best) {
			name, limit = best, wait
		}
	}
	if name == "" {
		return nil, false
	}
	return entry(view, name)
}

// entry finds an entry by name without copying it.
func entry(view *fleet.View, name string) (*fleet.Entry, bool) {
	for i := range view.Entries {
		if view.Entries[i].Server.Name == name {
			return &view.Entries[i], true
		}
	}
	return nil, false
}

func rowWait(row protocol.Row, long bool) time.Duration {
	if long {
		return row.Backlog
	}
	return row.Wait
}
