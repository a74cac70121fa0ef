package routing

import (
	"math/rand/v2"
	"sort"
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
	DefaultLongTokens    = 100_000
	DefaultAffinityBlock = 1
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
		LongTokens    int64         // prompts above this are long; 0 means DefaultLongTokens
		Affinity      time.Duration // longer wait that is accepted for a cached prefix
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
	usable := r.usable(view, ask, exclude)
	if len(usable) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(r.Seed, call))
	var chosen []scored
	switch r.Policy {
	case PolicyRoundRobin:
		chosen = []scored{usable[call%uint64(len(usable))]}
	case PolicyPowerOfTwo:
		chosen = r.powerOfTwo(usable, random)
	default:
		chosen = r.scheduled(now, view, usable, ask, random)
	}
	candidates := make([]Candidate, len(chosen))
	for i, c := range chosen {
		candidates[i] = Candidate{
			Server: c.entry.Server.Name, Scheduler: c.entry.Scheduler, Direct: c.entry.Scheduler.Name == "",
		}
	}
	return candidates
}

// usable lists the entries that can run the ask.
func (r *Router) usable(view *fleet.View, ask protocol.Ask, exclude []string) []scored {
	usable := make([]scored, 0, len(view.Entries))
	for i := range view.Entries {
		e := &view.Entries[i]
		if e.Row.Leaving || e.Row.Unhealthy || excluded(exclude, e.Server.Name) || !serves(e.Row, ask.Model) {
			continue
		}
		if e.Row.CapacityBytes > 0 && need(e.Row, ask) > e.Row.CapacityBytes {
			continue
		}
		usable = append(usable, scored{entry: e})
	}
	return usable
}

func (r *Router) powerOfTwo(usable []scored, random *rand.Rand) []scored {
	a, b := usable[random.IntN(len(usable))], usable[random.IntN(len(usable))]
	if b.entry.Row.Wait < a.entry.Row.Wait {
		a = b
	}
	return []scored{a}
}

func (r *Router) scheduled(now time.Time, view *fleet.View, usable []scored, ask protocol.Ask, random *rand.Rand) []scored {
	for i := range usable {
		usable[i].cost = r.cost(now, view, usable[i].entry, ask, random)
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].cost < usable[j].cost })
	limit := r.MaxCandidates
	if limit <= 0 {
		limit = DefaultMaxCandidates
	}
	return usable[:min(limit, len(usable))]
}

// cost is the predicted wait in seconds with what speaks for or against a backend server.
func (r *Router) cost(now time.Time, view *fleet.View, e *fleet.Entry, ask protocol.Ask, random *rand.Rand) float64 {
	c := e.Row.Wait.Seconds()
	stale := r.Stale
	if stale <= 0 {
		stale = DefaultStale
	}
	if e.Updated.IsZero() || now.Sub(e.Updated) > stale {
		c++
	}
	if e.Row.CapacityBytes > 0 && need(e.Row, ask) > e.Row.FreeBytes {
		c++
	}
	if e.Server.FailureDomain != view.FailureDomain {
		c += 0.05
	}
	return c + random.Float64()*0.02
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
