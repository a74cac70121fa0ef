package longprompt

import (
	"cmp"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// DefaultGap is the longest time without a sign of life from the member that works.
const DefaultGap = 5 * time.Second

// Steps of a Chain.
const (
	stepReserve step = iota
	stepPrefill
	stepExport
	stepDecode
	stepOver
)

type step uint8

// Chain runs one long prompt: it reserves all members, prefills and exports their parts one after the other, decodes
// on the last member and frees everything however it ends.
type Chain struct {
	Reservation
	Gap time.Duration // without a sign of life a member counts as dead; 0 means DefaultGap

	step      step
	working   int // member whose part runs
	heard     time.Time
	delivered bool
	imports   []engineapi.Import

	leaky bool // frees only the reservations; for tests
}

// Start begins to reserve.
func (c *Chain) Start(now time.Time) []Action { return c.follow(now, c.Reservation.Start(now)) }

// Reserved records a member's confirmation of its reservation.
func (c *Chain) Reserved(now time.Time, server string) []Action {
	return c.follow(now, c.Reservation.Reserved(now, server))
}

// Refused records a member's refusal of its reservation.
func (c *Chain) Refused(now time.Time, server, kind string) []Action {
	return c.follow(now, c.Reservation.Refused(now, server, kind))
}

// Failed records that a member gave no answer to the reservation.
func (c *Chain) Failed(now time.Time, server string) []Action {
	return c.follow(now, c.Reservation.Failed(now, server))
}

// Died records that a member's process has ended.
func (c *Chain) Died(_ time.Time, server string) []Action {
	for _, m := range c.Members {
		if m.Server == server {
			return c.end(ReasonMember, !c.delivered)
		}
	}
	return nil
}

// Heard records a sign of life of the member that works.
func (c *Chain) Heard(now time.Time, server string) {
	if c.works(server) {
		c.heard = now
	}
}

// Prefilled records that a member has run its part.
func (c *Chain) Prefilled(now time.Time, server string) []Action {
	if c.step != stepPrefill || !c.works(server) {
		return c.late(server)
	}
	c.step = stepExport
	c.heard = now
	return []Action{{Kind: ActionExport, Member: c.Members[c.working]}}
}

// Exported records the allocation that holds a member's part for the members after it.
func (c *Chain) Exported(now time.Time, server, allocation string) []Action {
	if c.step != stepExport || !c.works(server) {
		return c.late(server)
	}
	m := c.Members[c.working]
	c.imports = append(c.imports, engineapi.Import{Server: m.Server, Allocation: allocation, Tokens: m.Tokens})
	c.working++
	return c.work(now)
}

// Delivered records that output has gone to the caller, after which the prompt is not run anew.
func (c *Chain) Delivered(now time.Time) {
	c.delivered = true
	c.heard = now
}

// StepFailed records that the working member refused or broke off its part.
func (c *Chain) StepFailed(_ time.Time, server string) []Action {
	if !c.works(server) {
		return nil
	}
	return c.end(ReasonStep, !c.delivered)
}

// Tick repeats what is due and ends what is late.
func (c *Chain) Tick(now time.Time) []Action {
	switch {
	case c.step == stepOver:
		return nil
	case c.step == stepReserve:
		return c.follow(now, c.Reservation.Tick(now))
	case !c.Deadline.IsZero() && !now.Before(c.Deadline):
		return c.end(ReasonDeadline, false)
	case now.Sub(c.heard) >= c.gap():
		return c.end(ReasonMember, !c.delivered)
	default:
		return nil
	}
}

// Next returns when Tick is due, or the zero time.
func (c *Chain) Next() time.Time {
	switch c.step {
	case stepOver:
		return time.Time{}
	case stepReserve:
		return c.Reservation.Next()
	}
	silent := c.heard.Add(c.gap())
	if c.Deadline.IsZero() || silent.Before(c.Deadline) {
		return silent
	}
	return c.Deadline
}

// Done frees all members after the whole answer was delivered.
func (c *Chain) Done(_ time.Time) []Action {
	if c.step == stepOver {
		return nil
	}
	c.step = stepOver
	actions := c.releases()
	c.state = stateOver
	return actions
}

// Canceled frees all members since the caller has left.
func (c *Chain) Canceled(_ time.Time) []Action { return c.end(ReasonCanceled, false) }

// follow turns the reservation's end into the chain's next step.
func (c *Chain) follow(now time.Time, actions []Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a.Kind {
		case ActionRun:
			out = append(out, c.work(now)...)
		case ActionGiveUp:
			c.step = stepOver
			out = append(out, a)
		default:
			out = append(out, a)
		}
	}
	return out
}

// work starts the working member's part.
func (c *Chain) work(now time.Time) []Action {
	c.heard = now
	kind := ActionPrefill
	c.step = stepPrefill
	if c.working == len(c.Members)-1 {
		kind = ActionDecode
		c.step = stepDecode
	}
	imports := append([]engineapi.Import(nil), c.imports...)
	return []Action{{Kind: kind, Member: c.Members[c.working], Imports: imports}}
}

func (c *Chain) works(server string) bool {
	running := c.step == stepPrefill || c.step == stepExport || c.step == stepDecode
	return running && c.Members[c.working].Server == server
}

func (c *Chain) end(reason Reason, rebuild bool) []Action {
	if c.step == stepOver {
		return nil
	}
	actions := c.releases()
	c.step = stepOver
	c.state = stateOver
	return append(actions, Action{
		Kind: ActionGiveUp, Reason: reason, Rebuild: rebuild,
		RetryAfter: cmp.Or(c.RetryAfter, DefaultRetryAfter),
	})
}

// releases frees the parts that have run, then the reservations; the last member comes first.
func (c *Chain) releases() []Action {
	reservations := c.releaseAll()
	if c.state != stateHeld || c.leaky {
		return reservations
	}
	var actions []Action
	for i := min(c.working, len(c.Members)-1); i >= 0; i-- {
		actions = append(actions, c.parts(c.Members[i])...)
	}
	return append(actions, reservations...)
}

// parts frees what a member's part of the prompt holds.
func (c *Chain) parts(m Member) []Action {
	return []Action{
		{Kind: ActionRelease, Member: m, Allocation: AllocationID(c.ID, engineapi.KindSequence)},
		{Kind: ActionRelease, Member: m, Allocation: AllocationID(c.ID, engineapi.KindExport)},
	}
}

// late frees what a member has made after the end.
func (c *Chain) late(server string) []Action {
	if c.step != stepOver || c.leaky {
		return nil
	}
	for _, m := range c.Members {
		if m.Server == server {
			return c.parts(m)
		}
	}
	return nil
}

func (c *Chain) gap() time.Duration { return cmp.Or(c.Gap, DefaultGap) }
