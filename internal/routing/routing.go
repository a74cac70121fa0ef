package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Policies for selecting backend servers.
const (
	PolicyLeastCost  Policy = iota // the candidates of least cost; their schedulers decide
	PolicyPowerOfTwo               // the one of two random backend servers whose last row has the shorter wait
	PolicyRoundRobin               // each usable backend server in turn
)

// Defaults of the exported fields of Router.
const (
	DefaultMaxCandidates = 3
	DefaultMaxRowAge     = 3 * time.Second
)

// Costs and discounts of a backend server, in seconds of wait.
const (
	jitterCost             = 0.05 // maximum random cost, so that hosts with equal rows do not all select the same one
	staleCost              = 2.0  // for a stale row
	longOutsideSubsetCost  = 60.0 // for a long prompt on a backend server outside the subset for long prompts
	shortInSubsetCost      = 0.1  // for a short prompt on a backend server in that subset
	backlogCost            = 0.1  // per second of backlog, up to 1 s; prompts of lower priority are part of it
	firstAffinityDiscount  = 0.3  // for the backend server with the highest affinity to the prompt's prefix
	secondAffinityDiscount = 0.15 // for the one with the second highest affinity, which takes over when the first is busy
	lowMemoryCost          = 1.0  // for a backend server without enough free memory for the request
)

type (
	// Policy is a way to select backend servers.
	Policy uint8

	// Candidate is a backend server that can run a request, with the host whose scheduler grants it.
	Candidate struct {
		Server       string
		Scheduler    protocol.Host
		WithoutGrant bool // no live host schedules the backend server; the request is sent without a grant
	}

	// Router selects candidates. It is safe for concurrent use once its fields are set.
	Router struct {
		Policy                Policy
		Objective             document.Objective // what scheduling favors; it sets the length above which prompts are long
		MaxCandidates         int                // 0 means DefaultMaxCandidates
		MaxRowAge             time.Duration      // age above which a row is stale; 0 means DefaultMaxRowAge
		LongTokens            int64              // prompts with more tokens than this are long; 0 means Objective.LongTokens
		DisablePrefixAffinity bool               // ignore which backend servers may have the prompt's prefix in their cache
		Seed                  uint64             // of the random choices

		calls atomic.Uint64
	}

	// scoredEntry is the entry of a backend server with the cost of sending the request there.
	scoredEntry struct {
		entry *fleet.Entry
		cost  float64
	}
)

// Candidates returns the backend servers that the request may be sent to, the best first, without those named in
// exclude. If no backend server of the view's failure domain can run the request, it returns the best one of another
// failure domain, or nil if there is none.
func (r *Router) Candidates(now time.Time, view *fleet.View, req protocol.GrantRequest, exclude []string) []Candidate {
	call := r.calls.Add(1)
	random := rand.New(rand.NewPCG(r.Seed, call))
	var chosen []scoredEntry
	switch r.Policy {
	case PolicyRoundRobin:
		if usable := r.usableEntries(view, req, exclude); len(usable) > 0 {
			chosen = []scoredEntry{usable[call%uint64(len(usable))]}
		}
	case PolicyPowerOfTwo:
		if usable := r.usableEntries(view, req, exclude); len(usable) > 0 {
			chosen = r.powerOfTwo(usable, random)
		}
	default:
		chosen = r.leastCost(now, view, req, exclude, random)
	}
	if len(chosen) == 0 {
		return r.remoteCandidates(view, req, exclude)
	}
	return toCandidates(chosen)
}

func toCandidates(chosen []scoredEntry) []Candidate {
	list := make([]Candidate, len(chosen))
	for i, c := range chosen {
		list[i] = Candidate{
			Server: c.entry.Server.Name, Scheduler: c.entry.Scheduler, WithoutGrant: c.entry.Scheduler.Name == "",
		}
	}
	return list
}

// usableEntries returns the entries whose backend servers can run the request. It sets no costs.
func (r *Router) usableEntries(view *fleet.View, req protocol.GrantRequest, exclude []string) []scoredEntry {
	usable := make([]scoredEntry, 0, len(view.Entries))
	for i := range view.Entries {
		if e := &view.Entries[i]; canServe(view, e, req, exclude) {
			usable = append(usable, scoredEntry{entry: e})
		}
	}
	return usable
}

// canServe reports whether the entry's backend server can run the request: it is in the view's own failure domain,
// accepts requests for the model, is not excluded and its memory capacity is large enough for the request.
func canServe(view *fleet.View, e *fleet.Entry, req protocol.GrantRequest, exclude []string) bool {
	if e.Server.FailureDomain != view.FailureDomain || !isUsable(e.Row, req.Model) || excluded(exclude, e.Server.Name) {
		return false
	}
	return e.Row.CapacityBytes <= 0 || requiredBytes(e.Row, req) <= e.Row.CapacityBytes
}

// powerOfTwo returns, of two entries drawn at random, the one with the shorter predicted wait.
func (r *Router) powerOfTwo(usable []scoredEntry, random *rand.Rand) []scoredEntry {
	a, b := usable[random.IntN(len(usable))], usable[random.IntN(len(usable))]
	if b.entry.Row.Wait < a.entry.Row.Wait {
		a = b
	}
	return []scoredEntry{a}
}

// leastCost returns up to MaxCandidates entries in ascending order of cost. If all of them are busy, the last may be
// replaced by a less busy backend server of another failure domain.
func (r *Router) leastCost(
	now time.Time, view *fleet.View, req protocol.GrantRequest, exclude []string, random *rand.Rand,
) []scoredEntry {
	limit := r.MaxCandidates
	if limit <= 0 {
		limit = DefaultMaxCandidates
	}
	chosen := make([]scoredEntry, 0, limit+1)
	first, second := r.affinityServers(view, req, exclude)
	for i := range view.Entries {
		e := &view.Entries[i]
		if !canServe(view, e, req, exclude) {
			continue
		}
		cost := r.cost(now, e, req, random)
		switch e {
		case first:
			cost -= firstAffinityDiscount
		case second:
			cost -= secondAffinityDiscount
		}
		chosen = insertByCost(chosen, scoredEntry{entry: e, cost: cost}, limit)
	}
	if e, ok := r.spillover(view, chosen, req); ok && !excluded(exclude, e.Server.Name) {
		chosen = append(chosen[:min(limit-1, len(chosen))], scoredEntry{entry: e})
	}
	return chosen
}

// insertByCost inserts s into chosen, which is in ascending order of cost, and keeps the first limit entries.
func insertByCost(chosen []scoredEntry, s scoredEntry, limit int) []scoredEntry {
	i := len(chosen)
	for i > 0 && chosen[i-1].cost > s.cost {
		i--
	}
	if i >= limit {
		return chosen
	}
	chosen = append(chosen, scoredEntry{})
	copy(chosen[i+1:], chosen[i:])
	chosen[i] = s
	return chosen[:min(len(chosen), limit)]
}

// cost returns the predicted wait on a backend server, in seconds, plus the costs that apply to the request. The wait
// in a stale row is ignored. The affinity discounts are not included.
func (r *Router) cost(now time.Time, e *fleet.Entry, req protocol.GrantRequest, random *rand.Rand) float64 {
	c := random.Float64() * jitterCost
	if isStale(now, e, r.staleLimit()) {
		return c + staleCost
	}
	if r.isLong(req.PromptTokens) {
		c += e.Row.Backlog.Seconds()
		if !e.Row.ForLongPrompts {
			c += longOutsideSubsetCost
		}
	} else {
		c += e.Row.Wait.Seconds() + min(e.Row.Backlog.Seconds(), 1)*backlogCost
		if e.Row.ForLongPrompts {
			c += shortInSubsetCost
		}
	}
	if e.Row.CapacityBytes > 0 && requiredBytes(e.Row, req) > e.Row.FreeBytes {
		c += lowMemoryCost
	}
	return c
}

// isLong reports whether a prompt of this many tokens is long.
func (r *Router) isLong(tokens int64) bool {
	if r.LongTokens > 0 {
		return tokens > r.LongTokens
	}
	return tokens > r.Objective.LongTokens()
}

func (r *Router) staleLimit() time.Duration {
	if r.MaxRowAge > 0 {
		return r.MaxRowAge
	}
	return DefaultMaxRowAge
}

// requiredBytes returns the memory that the request reserves on the backend server of the row.
func requiredBytes(row protocol.Row, req protocol.GrantRequest) int64 {
	if req.Bytes > 0 {
		return req.Bytes
	}
	return (req.PromptTokens + req.OutputTokens) * row.BytesPerToken
}

// serves reports whether the row's backend server serves the model. A row without models serves any model.
func serves(row protocol.Row, model string) bool {
	if len(row.Models) == 0 || model == "" {
		return true
	}
	for _, m := range row.Models {
		if m == model {
			return true
		}
	}
	return false
}

func excluded(exclude []string, name string) bool {
	for _, x := range exclude {
		if x == name {
			return true
		}
	}
	return false
}
