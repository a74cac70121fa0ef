package longprompt

import (
	"cmp"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// DefaultMaxSilence is the longest time for which the active member may show no activity before it counts as failed.
const DefaultMaxSilence = 5 * time.Second

// Phases of a Chain; phasePrefill, phaseExport and phaseDecode are those of the active member's part.
const (
	phaseReserve phase = iota
	phasePrefill
	phaseExport
	phaseDecode
	phaseEnded
)

type phase uint8

// Chain is the state machine that runs one long prompt on several engines, its members.
//
// It reserves memory on all members, then prefills and exports the parts one after the other, decodes on the last
// member and frees all memory, whether the prompt succeeds or not. The active member is the one whose part runs.
type Chain struct {
	Reservation
	MaxSilence time.Duration // longest silence of the active member before it counts as failed; 0 means DefaultMaxSilence

	phase        phase
	active       int                // index of the active member
	lastActivity time.Time          // last activity of the active member
	delivered    bool               // output has been sent to the caller
	imports      []engineapi.Import // exported parts of the members before the active one

	keepParts bool // frees the reservations but not the parts; for tests
}

// Start begins to reserve memory, with the first member.
func (c *Chain) Start(now time.Time) []Action { return c.advance(now, c.Reservation.Start(now)) }

// Reserved records that a member has confirmed its reservation. After the last one the first member's part starts.
func (c *Chain) Reserved(now time.Time, server string) []Action {
	return c.advance(now, c.Reservation.Reserved(now, server))
}

// Refused records that a member has refused its reservation; kind is an engineapi refusal kind.
func (c *Chain) Refused(now time.Time, server, kind string) []Action {
	return c.advance(now, c.Reservation.Refused(now, server, kind))
}

// Failed records that a member did not respond to the reservation, so that it may or may not hold the memory.
func (c *Chain) Failed(now time.Time, server string) []Action {
	return c.advance(now, c.Reservation.Failed(now, server))
}

// ProcessEnded records that a member's process has ended; the chain gives up.
func (c *Chain) ProcessEnded(_ time.Time, server string) []Action {
	for _, m := range c.Members {
		if m.Server == server {
			return c.end(ReasonMemberFailed, !c.delivered)
		}
	}
	return nil
}

// RecordActivity records activity of the active member; it ignores other members.
func (c *Chain) RecordActivity(now time.Time, server string) {
	if c.isActive(server) {
		c.lastActivity = now
	}
}

// Prefilled records that a member has prefilled its part, which is exported next.
func (c *Chain) Prefilled(now time.Time, server string) []Action {
	if c.phase != phasePrefill || !c.isActive(server) {
		return c.releaseLatePart(server)
	}
	c.phase = phaseExport
	c.lastActivity = now
	return []Action{{Kind: ActionExport, Member: c.Members[c.active]}}
}

// Exported records the allocation that holds a member's exported part, and starts the next member's part on it.
func (c *Chain) Exported(now time.Time, server, allocation string) []Action {
	if c.phase != phaseExport || !c.isActive(server) {
		return c.releaseLatePart(server)
	}
	m := c.Members[c.active]
	c.imports = append(c.imports, engineapi.Import{Server: m.Server, Allocation: allocation, Tokens: m.PromptTokens})
	c.active++
	return c.startPart(now)
}

// Delivered records that output has been sent to the caller. From then on the prompt must not run again,
// so giving up does not set Replan.
func (c *Chain) Delivered(now time.Time) {
	c.delivered = true
	c.lastActivity = now
}

// PartFailed records that the active member has refused or aborted its part; the chain gives up.
func (c *Chain) PartFailed(_ time.Time, server string) []Action {
	if !c.isActive(server) {
		return nil
	}
	return c.end(ReasonPart, !c.delivered)
}

// Tick repeats a reservation that is due, and gives up once the deadline has passed or the active member is silent for
// MaxSilence.
func (c *Chain) Tick(now time.Time) []Action {
	switch {
	case c.phase == phaseEnded:
		return nil
	case c.phase == phaseReserve:
		return c.advance(now, c.Reservation.Tick(now))
	case !c.Deadline.IsZero() && !now.Before(c.Deadline):
		return c.end(ReasonDeadline, false)
	case now.Sub(c.lastActivity) >= c.maxSilence():
		return c.end(ReasonMemberFailed, !c.delivered)
	default:
		return nil
	}
}

// Next returns when Tick must be called next, or the zero time if the chain has ended.
func (c *Chain) Next() time.Time {
	switch c.phase {
	case phaseEnded:
		return time.Time{}
	case phaseReserve:
		return c.Reservation.Next()
	}
	silenceEnd := c.lastActivity.Add(c.maxSilence())
	if c.Deadline.IsZero() || silenceEnd.Before(c.Deadline) {
		return silenceEnd
	}
	return c.Deadline
}

// Completed frees the memory on all members once the complete response has been delivered.
func (c *Chain) Completed(_ time.Time) []Action {
	if c.phase == phaseEnded {
		return nil
	}
	c.phase = phaseEnded
	actions := c.releaseActions()
	c.state = stateEnded
	return actions
}

// Canceled frees the memory on all members because the caller has disconnected.
func (c *Chain) Canceled(_ time.Time) []Action { return c.end(ReasonCanceled, false) }

// advance applies the reservation's actions to the chain: ActionRun starts the first part, ActionGiveUp ends the chain.
func (c *Chain) advance(now time.Time, actions []Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a.Kind {
		case ActionRun:
			out = append(out, c.startPart(now)...)
		case ActionGiveUp:
			c.phase = phaseEnded
			out = append(out, a)
		default:
			out = append(out, a)
		}
	}
	return out
}

// startPart starts the active member's part: the last member decodes, all others only prefill.
func (c *Chain) startPart(now time.Time) []Action {
	c.lastActivity = now
	kind := ActionPrefill
	c.phase = phasePrefill
	if c.active == len(c.Members)-1 {
		kind = ActionDecode
		c.phase = phaseDecode
	}
	imports := append([]engineapi.Import(nil), c.imports...)
	return []Action{{Kind: kind, Member: c.Members[c.active], Imports: imports}}
}

// isActive reports whether server is the active member.
func (c *Chain) isActive(server string) bool {
	running := c.phase == phasePrefill || c.phase == phaseExport || c.phase == phaseDecode
	return running && c.Members[c.active].Server == server
}

// end frees all memory and gives up; rebuild says whether a new plan may still succeed.
func (c *Chain) end(reason Reason, rebuild bool) []Action {
	if c.phase == phaseEnded {
		return nil
	}
	actions := c.releaseActions()
	c.phase = phaseEnded
	c.state = stateEnded
	return append(actions, Action{
		Kind: ActionGiveUp, Reason: reason, Replan: rebuild,
		RetryAfter: cmp.Or(c.RetryAfter, DefaultRetryAfter),
	})
}

// releaseActions frees the parts that have been started, then the reservations, both from the last member to the first.
func (c *Chain) releaseActions() []Action {
	reservations := c.releaseAll()
	if c.state != stateReserved || c.keepParts {
		return reservations
	}
	var actions []Action
	for i := min(c.active, len(c.Members)-1); i >= 0; i-- {
		actions = append(actions, c.releasePart(c.Members[i])...)
	}
	return append(actions, reservations...)
}

// releasePart frees the memory that a member's part of the prompt holds: its sequence and its export.
func (c *Chain) releasePart(m Member) []Action {
	return []Action{
		{Kind: ActionRelease, Member: m, Allocation: AllocationID(c.ID, engineapi.KindSequence)},
		{Kind: ActionRelease, Member: m, Allocation: AllocationID(c.ID, engineapi.KindExport)},
	}
}

// releaseLatePart frees a member's part whose result arrives after the chain has ended. It returns nil if the chain is
// still running.
func (c *Chain) releaseLatePart(server string) []Action {
	if c.phase != phaseEnded || c.keepParts {
		return nil
	}
	for _, m := range c.Members {
		if m.Server == server {
			return c.releasePart(m)
		}
	}
	return nil
}

func (c *Chain) maxSilence() time.Duration { return cmp.Or(c.MaxSilence, DefaultMaxSilence) }
