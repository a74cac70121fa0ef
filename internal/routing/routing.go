package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Policies of choice.
const (
	PolicyScheduled  Policy = iota // candidates for the schedulers to decide between
	PolicyPowerOfTwo               // the better of two random backend servers by their last rows
	PolicyRoundRobin               // one after the other
)

// Defaults of the exported fields of Router.
const (
	DefaultMaxCandidates = 3
	DefaultStale         = 3 * time.Second
)

// What speaks against or for a backend server, in seconds of wait.
const (
	spreadCost     = 0.05 // random, so that hosts with equal rows don't all choose the same
	staleCost      = 2.0  // its row is old
	outsideCost    = 60.0 // a long prompt outside the subset for long prompts
	borrowCost     = 0.1  // another prompt inside that subset
	backlogCost    = 0.1  // for each second of prompts of lower priority
	firstAffinity  = 0.3  // for the backend server that a prompt's prefix belongs to
	secondAffinity = 0.15 // for the one that takes over when the first is busy
	memoryCost     = 1.0  // too little memory is free
)

type (
	// Policy names a way to choose backend servers.
	Policy uint8

	// Candidate is a backend server to ask for a grant.
	Candidate struct {
		Server    string
		Scheduler protocol.Host
		Direct    bool // no scheduler lives; the request goes to the backend server without a grant
	}

	// Router chooses candidates; it is safe for concurrent use after its fields are set.
	Router struct {
		Policy        Policy
		Weight        document.Weight
		MaxCandidates int           // 0 means DefaultMaxCandidates
		Stale         time.Duration // age from which a row counts for less; 0 means DefaultStale
		LongTokens    int64         // prompts above this are long; 0 follows Weight
		NoAffinity    bool          // ignore which backend servers may have a prompt's prefix in their cache
		Seed          uint64

		calls atomic.Uint64
	}

	// scored is a backend server with the cost of sending the request there.
	scored struct {
		entry *fleet.Entry
		cost  float64
	}
)

// Candidates returns the backend servers to ask, the best first, without those named in exclude.
func (r *Router) Candidates(now time.Time, view *fleet.View, ask protocol.Ask, exclude []string) []Candidate {
	call := r.calls.Add(1)
	random := rand.New(rand.NewPCG(r.Seed, call))
	var chosen []scored
	switch r.Policy {
	case PolicyRoundRobin:
		if usable := r.usable(view, ask, exclude); len(usable) > 0 {
			chosen = []scored{usable[call%uint64(len(usable))]}
		}
	case PolicyPowerOfTwo:
		if usable := r.usable(view, ask, exclude); len(usable) > 0 {
			chosen = r.powerOfTwo(usable, random)
		}
	default:
		chosen = r.scheduled(now, view, ask, exclude, random)
	}
	if len(chosen) == 0 {
		return r.elsewhere(view, ask, exclude)
	}
	return candidates(chosen)
}

func candidates(chosen []scored) []Candidate {
	list := make([]Candidate, len(chosen))
	for i, c := range chosen {
		list[i] = Candidate{
			Server: c.entry.Server.Name, Scheduler: c.entry.Scheduler, Direct: c.entry.Scheduler.Name == "",
		}
	}
	return list
}

// usable lists the entries that can run the ask.
func (r *Router) usable(view *fleet.View, ask protocol.Ask, exclude []string) []scored {
	usable := make([]scored, 0, len(view.Entries))
	for i := range view.Entries {
		if e := &view.Entries[i]; can(view, e, ask, exclude) {
			usable = append(usable, scored{entry: e})
		}
	}
	return usable
}

// can reports whether a backend server of the own failure domain can run the ask.
func can(view *fleet.View, e *fleet.Entry, ask protocol.Ask, exclude []string) bool {
	if e.Server.FailureDomain != view.FailureDomain || !usableRow(e.Row, ask.Model) || excluded(exclude, e.Server.Name) {
		return false
	}
	return e.Row.CapacityBytes <= 0 || need(e.Row, ask) <= e.Row.CapacityBytes
}

func (r *Router) powerOfTwo(usable []scored, random *rand.Rand) []scored {
	a, b := usable[random.IntN(len(usable))], usable[random.IntN(len(usable))]
	if b.entry.Row.Wait < a.entry.Row.Wait {
		a = b
	}
	return []scored{a}
}

// scheduled returns the entries with the least cost.
func (r *Router) scheduled(now time.Time, view *fleet.View, ask protocol.Ask, exclude []string, random *rand.Rand) []scored {
	limit := r.MaxCandidates
	if limit <= 0 {
		limit = DefaultMaxCandidates
	}
	chosen := make([]scored, 0, limit+1)
	first, second := r.affine(view, ask, exclude)
	for i := range view.Entries {
		e := &view.Entries[i]
		if !can(view, e, ask, exclude) {
			continue
		}
		cost := r.cost(now, e, ask, random)
		switch e {
		case first:
			cost -= firstAffinity
		case second:
			cost -= secondAffinity
		}
		chosen = insert(chosen, scored{entry: e, cost: cost}, limit)
	}
	if e, ok := r.spill(view, chosen, ask); ok && !excluded(exclude, e.Server.Name) {
		chosen = append(chosen[:min(limit-1, len(chosen))], scored{entry: e})
	}
	return chosen
}

// insert keeps the limit entries with the least cost in order.
func insert(chosen []scored, s scored, limit int) []scored {
	i := len(chosen)
	for i > 0 && chosen[i-1].cost > s.cost {
		i--
	}
	if i >= limit {
		return chosen
	}
	chosen = append(chosen, scored{})
	copy(chosen[i+1:], chosen[i:])
	chosen[i] = s
	return chosen[:min(len(chosen), limit)]
}

// cost is the predicted wait in seconds with what speaks for or against a backend server.
func (r *Router) cost(now time.Time, e *fleet.Entry, ask protocol.Ask, random *rand.Rand) float64 {
	c := random.Float64() * spreadCost
	if stale(now, e, r.staleAge()) {
		return c + staleCost
	}
	if r.long(ask.PromptTokens) {
		c += e.Row.Backlog.Seconds()
		if !e.Row.Long {
			c += outsideCost
		}
	} else {
		c += e.Row.Wait.Seconds() + min(e.Row.Backlog.Seconds(), 1)*backlogCost
		if e.Row.Long {
			c += borrowCost
		}
	}
	if e.Row.CapacityBytes > 0 && need(e.Row, ask) > e.Row.FreeBytes {
		c += memoryCost
	}
	return c
}

func (r *Router) long(tokens int64) bool {
	if r.LongTokens > 0 {
		return tokens > r.LongTokens
	}
	return tokens > r.Weight.LongTokens()
}

func (r *Router) staleAge() time.Duration {
	if r.Stale > 0 {
		return r.Stale
	}
	return DefaultStale
}

// need is the memory that an ask takes on the backend server of a row.
func need(row protocol.Row, ask protocol.Ask) int64 {
	if ask.Bytes > 0 {
		return ask.Bytes
	}
	return (ask.PromptTokens + ask.OutputTokens) * row.BytesPerToken
}

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
