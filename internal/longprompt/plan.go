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

// Defaults of a Planner's exported fields.
const (
	DefaultHeadroom   = 0.1
	DefaultMaxMembers = 8
)

// Kinds of errors of this package.
const (
	KindNever Kind = "never" // all engines together are too small
	KindNow   Kind = "now"   // too little memory is free at the moment
	KindDown  Kind = "down"  // engines that would be needed do not answer at the moment
	KindTime  Kind = "time"  // the engines are too slow for the time left
	KindModel Kind = "model" // no engine here has the model loaded
)

type (
	// Kind classifies an Error.
	Kind string

	// Error says why a prompt can't be spread over engines.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Member is one engine's part of a prompt.
	Member struct {
		Server  string
		Address netip.AddrPort
		Tokens  int64 // of the prompt
		Bytes   int64 // of its memory, on the last member with those of the output
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

// Planner spreads prompts that no single engine can hold over as few engines as fit.
type Planner struct {
	Headroom   float64 // share of each engine's capacity left to short prompts; 0 means DefaultHeadroom
	MaxMembers int     // engines for one prompt; 0 means DefaultMaxMembers
}

// room is what one engine can give.
type room struct {
	entry    *fleet.Entry
	free     int64 // tokens
	capacity int64 // tokens
}

// Plan returns the members in ascending order of their servers' names, or an *Error.
func (p *Planner) Plan(_ time.Time, view *fleet.View, ask protocol.Ask) ([]Member, error) {
	tokens := ask.PromptTokens + ask.OutputTokens
	all := p.rooms(view, ask.Model)
	if len(all) == 0 {
		return nil, &Error{Op: "plan", Kind: KindModel}
	}
	if !p.everFits(all, tokens) {
		return nil, &Error{Op: "plan", Kind: KindNever}
	}
	rooms := slices.DeleteFunc(slices.Clone(all), func(r room) bool { return r.entry.Row.Unhealthy })
	if !p.everFits(rooms, tokens) {
		return nil, &Error{Op: "plan", Kind: KindDown}
	}
	chosen, ok := p.choose(rooms, ask)
	if !ok {
		return nil, &Error{Op: "plan", Kind: KindNow}
	}
	if ask.TimeLeft > 0 && duration(chosen, ask) > ask.TimeLeft {
		return nil, &Error{Op: "plan", Kind: KindTime}
	}
	return members(chosen, ask), nil
}

// rooms lists the engines of this failure domain that have the model, those with most free memory first.
func (p *Planner) rooms(view *fleet.View, model string) []room {
	var rooms []room
	for i := range view.Entries {
		e := &view.Entries[i]
		r := &e.Row
		local := view.FailureDomain == "" || e.Server.FailureDomain == view.FailureDomain
		if !local || r.Leaving || r.BytesPerToken <= 0 || !slices.Contains(r.Models, model) {
			continue
		}
		spare := int64(float64(r.CapacityBytes) * cmp.Or(p.Headroom, DefaultHeadroom))
		rooms = append(rooms, room{
			entry:    e,
			free:     max(0, r.FreeBytes-spare) / r.BytesPerToken,
			capacity: max(0, r.CapacityBytes-spare) / r.BytesPerToken,
		})
	}
	slices.SortFunc(rooms, func(a, b room) int {
		return cmp.Or(
			cmp.Compare(b.free, a.free),
			cmp.Compare(a.entry.Row.Wait, b.entry.Row.Wait),
			cmp.Compare(a.entry.Server.Name, b.entry.Server.Name),
		)
	})
	return rooms
}

// everFits reports whether the largest engines could hold the tokens if they were idle.
func (p *Planner) everFits(rooms []room, tokens int64) bool {
	sizes := make([]int64, 0, len(rooms))
	for _, r := range rooms {
		sizes = append(sizes, r.capacity)
	}
	slices.SortFunc(sizes, func(a, b int64) int { return cmp.Compare(b, a) })
	for _, size := range sizes[:min(len(sizes), cmp.Or(p.MaxMembers, DefaultMaxMembers))] {
		tokens -= size
	}
	return tokens <= 0
}

// choose takes the fewest engines that hold the prompt, the last of which can hold the output as well.
func (p *Planner) choose(rooms []room, ask protocol.Ask) ([]room, bool) {
	need := ask.PromptTokens + ask.OutputTokens
	var sum int64
	for i, r := range rooms[:min(len(rooms), cmp.Or(p.MaxMembers, DefaultMaxMembers))] {
		sum += r.free
		if sum < need {
			continue
		}
		chosen := slices.Clone(rooms[:i+1])
		slices.SortFunc(chosen, func(a, b room) int { return cmp.Compare(a.entry.Server.Name, b.entry.Server.Name) })
		if chosen[i].free > ask.OutputTokens {
			return chosen, true
		}
	}
	return nil, false
}

// members shares the tokens out in proportion to free memory; each member gets at least one.
func members(chosen []room, ask protocol.Ask) []Member {
	var free int64
	for _, r := range chosen {
		free += r.free
	}
	share := float64(ask.PromptTokens+ask.OutputTokens) / float64(free)
	list := make([]Member, len(chosen))
	left := ask.PromptTokens
	for i, r := range chosen {
		others := int64(len(chosen) - 1 - i)
		tokens := min(left-others, int64(math.Ceil(float64(r.free)*share)), r.free)
		if i == len(chosen)-1 {
			tokens = left
		}
		left -= tokens
		list[i] = member(r, tokens)
	}
	last := &list[len(list)-1]
	last.Bytes += ask.OutputTokens * chosen[len(chosen)-1].entry.Row.BytesPerToken
	return list
}

func member(r room, tokens int64) Member {
	return Member{
		Server:  r.entry.Server.Name,
		Address: r.entry.Server.Address,
		Tokens:  tokens,
		Bytes:   tokens * r.entry.Row.BytesPerToken,
	}
}

// duration predicts the time for one prefill after the other and the output.
func duration(chosen []room, ask protocol.Ask) time.Duration {
	var seconds, free float64
	for _, r := range chosen {
		free += float64(r.free)
	}
	for _, r := range chosen {
		if rate := r.entry.Row.PrefillRate; rate > 0 {
			seconds += float64(ask.PromptTokens) * float64(r.free) / free / rate
		}
	}
	if rate := chosen[len(chosen)-1].entry.Row.DecodeRate; rate > 0 {
		seconds += float64(ask.OutputTokens) / rate
	}
	return time.Duration(seconds * float64(time.Second))
}
