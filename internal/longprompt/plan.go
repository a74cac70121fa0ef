package longprompt

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Defaults of the fields of a Planner.
const (
	DefaultHeadroom   = 0.1 // share of an engine's capacity
	DefaultMaxMembers = 8   // engines for one prompt
)

// Kinds of an Error.
const (
	KindTooLarge       Kind = "never" // the MaxMembers largest engines could not hold the prompt even if they were idle
	KindNoFreeMemory   Kind = "now"   // too little memory is free at present
	KindUnhealthy      Kind = "down"  // the engines that are healthy now could not hold the prompt even if they were idle
	KindTooSlow        Kind = "time"  // the engines are too slow for the remaining time of the request
	KindModelNotLoaded Kind = "model" // no engine of this failure domain has the model loaded
)

type (
	// Kind classifies an Error.
	Kind string

	// Error says why a prompt can't be split over several engines.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Member is one of the engines that run a prompt together, with its part of the prompt.
	Member struct {
		Server       string
		Address      netip.AddrPort
		PromptTokens int64 // prompt tokens of the part
		Bytes        int64 // memory that the part needs; on the last member also that of the output
	}
)

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Planner splits a prompt that no single engine can hold over the smallest number of engines that can hold it together.
type Planner struct {
	Headroom   float64 // share of each engine's capacity that stays free for short prompts; 0 means DefaultHeadroom
	MaxMembers int     // most engines for one prompt; 0 means DefaultMaxMembers
}

// candidate is an engine and the number of tokens that its memory can take, without the headroom.
type candidate struct {
	entry    *fleet.Entry
	free     int64 // tokens that fit now
	capacity int64 // tokens that fit while the engine is idle
}

// Plan splits the prompt of a grant request over engines of the view's failure domain. It returns the members in
// ascending order of their servers' names, or an *Error.
func (p *Planner) Plan(_ time.Time, view *fleet.View, request protocol.GrantRequest) ([]Member, error) {
	tokens := request.PromptTokens + request.OutputTokens
	all := p.candidates(view, request.Model)
	if len(all) == 0 {
		return nil, &Error{Op: "plan", Kind: KindModelNotLoaded}
	}
	if !p.fitsWhenIdle(all, tokens) {
		return nil, &Error{Op: "plan", Kind: KindTooLarge}
	}
	candidates := slices.DeleteFunc(slices.Clone(all), func(r candidate) bool { return r.entry.Row.Unhealthy })
	if !p.fitsWhenIdle(candidates, tokens) {
		return nil, &Error{Op: "plan", Kind: KindUnhealthy}
	}
	chosen, ok := p.choose(candidates, request)
	if !ok {
		return nil, &Error{Op: "plan", Kind: KindNoFreeMemory}
	}
	if request.TimeLeft > 0 && estimateDuration(chosen, request) > request.TimeLeft {
		return nil, &Error{Op: "plan", Kind: KindTooSlow}
	}
	return split(chosen, request), nil
}

// candidates lists the engines of this failure domain that have the model loaded, in descending order of free memory.
func (p *Planner) candidates(view *fleet.View, model string) []candidate {
	var candidates []candidate
	for i := range view.Entries {
		e := &view.Entries[i]
		r := &e.Row
		local := view.FailureDomain == "" || e.Server.FailureDomain == view.FailureDomain
		if !local || r.Leaving || r.BytesPerToken <= 0 || !slices.Contains(r.Models, model) {
			continue
		}
		headroom := int64(float64(r.CapacityBytes) * cmp.Or(p.Headroom, DefaultHeadroom))
		candidates = append(candidates, candidate{
			entry:    e,
			free:     max(0, r.FreeBytes-headroom) / r.BytesPerToken,
			capacity: max(0, r.CapacityBytes-headroom) / r.BytesPerToken,
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.free, a.free),
			cmp.Compare(a.entry.Row.Wait, b.entry.Row.Wait),
			cmp.Compare(a.entry.Server.Name, b.entry.Server.Name),
		)
	})
	return candidates
}

// fitsWhenIdle reports whether the MaxMembers largest candidates could hold the tokens if they were idle.
func (p *Planner) fitsWhenIdle(candidates []candidate, tokens int64) bool {
	sizes := make([]int64, 0, len(candidates))
	for _, r := range candidates {
		sizes = append(sizes, r.capacity)
	}
	slices.SortFunc(sizes, func(a, b int64) int { return cmp.Compare(b, a) })
	for _, size := range sizes[:min(len(sizes), cmp.Or(p.MaxMembers, DefaultMaxMembers))] {
		tokens -= size
	}
	return tokens <= 0
}

// choose returns the fewest candidates that have room for the prompt and the output together, in ascending order of
// their names. The last of them decodes, so it must have room for the output beside at least one prompt token. The
// second result is false if there are no such candidates.
func (p *Planner) choose(candidates []candidate, request protocol.GrantRequest) ([]candidate, bool) {
	need := request.PromptTokens + request.OutputTokens
	var sum int64
	for i, r := range candidates[:min(len(candidates), cmp.Or(p.MaxMembers, DefaultMaxMembers))] {
		sum += r.free
		if sum < need {
			continue
		}
		chosen := slices.Clone(candidates[:i+1])
		slices.SortFunc(chosen, func(a, b candidate) int { return cmp.Compare(a.entry.Server.Name, b.entry.Server.Name) })
		if chosen[i].free > request.OutputTokens {
			return chosen, true
		}
	}
	return nil, false
}

// split divides the prompt tokens among the chosen engines in proportion to free memory; each gets at least one.
func split(chosen []candidate, request protocol.GrantRequest) []Member {
	var free int64
	for _, r := range chosen {
		free += r.free
	}
	share := float64(request.PromptTokens+request.OutputTokens) / float64(free)
	list := make([]Member, len(chosen))
	remaining := request.PromptTokens
	for i, r := range chosen {
		laterMembers := int64(len(chosen) - 1 - i)
		tokens := min(remaining-laterMembers, int64(math.Ceil(float64(r.free)*share)), r.free)
		if i == len(chosen)-1 {
			tokens = remaining
		}
		remaining -= tokens
		list[i] = newMember(r, tokens)
	}
	last := &list[len(list)-1]
	last.Bytes += request.OutputTokens * chosen[len(chosen)-1].entry.Row.BytesPerToken
	return list
}

func newMember(r candidate, tokens int64) Member {
	return Member{
		Server:       r.entry.Server.Name,
		Address:      r.entry.Server.Address,
		PromptTokens: tokens,
		Bytes:        tokens * r.entry.Row.BytesPerToken,
	}
}

// estimateDuration returns the predicted time to prefill the parts one after the other and to decode the output.
func estimateDuration(chosen []candidate, request protocol.GrantRequest) time.Duration {
	var seconds, free float64
	for _, r := range chosen {
		free += float64(r.free)
	}
	for _, r := range chosen {
		if rate := r.entry.Row.PrefillRate; rate > 0 {
			seconds += float64(request.PromptTokens) * float64(r.free) / free / rate
		}
	}
	if rate := chosen[len(chosen)-1].entry.Row.DecodeRate; rate > 0 {
		seconds += float64(request.OutputTokens) / rate
	}
	return time.Duration(seconds * float64(time.Second))
}
