package longprompt

import (
	"cmp"
	"fmt"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Kinds of actions.
const (
	ActionReserve ActionKind = iota // reserve Member's bytes under Allocation
	ActionRelease                   // free Allocation on Member until it is confirmed
	ActionRun                       // all members are reserved
	ActionPrefill                   // run Member's part of the prompt on Imports, without output
	ActionExport                    // export what Member has prefilled
	ActionDecode                    // run Member's part on Imports and produce the output
	ActionGiveUp                    // the request can't run this way
)

// Reasons for giving up.
const (
	ReasonMemory   Reason = "memory"   // a member had no room for longer than the patience
	ReasonRefused  Reason = "refused"  // a member takes no reservation at all
	ReasonMember   Reason = "member"   // a member died or does not answer
	ReasonStep     Reason = "step"     // a member could not run its part
	ReasonDeadline Reason = "deadline" // the time of the request is over
	ReasonCanceled Reason = "canceled" // the caller has left
)

// Defaults of a Reservation's exported fields.
const (
	DefaultPatience   = 3 * time.Second
	DefaultTimeout    = time.Second
	DefaultBackoff    = 100 * time.Millisecond
	DefaultRetryAfter = 10 * time.Second
)

type (
	// ActionKind says what an Action asks for.
	ActionKind uint8

	// Reason says why a prompt is given up.
	Reason string

	// Action is one thing for the shell to do.
	Action struct {
		Kind       ActionKind
		Member     Member
		Allocation string             // with ActionReserve and ActionRelease
		Imports    []engineapi.Import // with ActionPrefill and ActionDecode
		Reason     Reason             // with ActionGiveUp
		RetryAfter time.Duration      // with ActionGiveUp
		Rebuild    bool               // with ActionGiveUp: a new plan may still succeed in time
	}
)

// States of a Reservation.
const (
	stateIdle state = iota
	stateReserving
	stateHeld
	stateOver
)

type state uint8

// Reservation holds memory on all members or on none; it reserves in the order of Members, which must ascend by server.
type Reservation struct {
	ID         protocol.AttemptID
	Members    []Member
	Deadline   time.Time     // of the request; zero means none
	Expiry     time.Duration // of each reservation on its engine
	Patience   time.Duration // for room on one member; 0 means DefaultPatience
	Timeout    time.Duration // for one answer; 0 means DefaultTimeout
	Backoff    time.Duration // between tries on one member; 0 means DefaultBackoff
	RetryAfter time.Duration // told when given up; 0 means DefaultRetryAfter

	state   state
	current int       // member that is being reserved
	since   time.Time // when its first try was sent
	due     time.Time // when the try is repeated
	refused bool      // the last try was refused
	unsure  bool      // an earlier try had no answer, so that the member may hold the reservation in spite of a refusal

	keep bool // keeps what is held when giving up; for tests
}

// AllocationID returns the id of an attempt's allocation of the given engineapi kind.
func AllocationID(id protocol.AttemptID, kind string) string {
	return fmt.Sprintf("%s.%d.%s", id.Request, id.Attempt, kind)
}

// Start begins with the first member.
func (r *Reservation) Start(now time.Time) []Action {
	if r.state != stateIdle {
		return nil
	}
	r.state = stateReserving
	r.since = now
	return r.reserve(now)
}

// Reserved records a member's confirmation; one that comes after the end is released again.
func (r *Reservation) Reserved(now time.Time, server string) []Action {
	if r.state == stateOver {
		return r.releaseLate(server)
	}
	if r.state != stateReserving || server != r.Members[r.current].Server {
		return nil
	}
	r.current++
	r.refused = false
	r.unsure = false
	if r.current == len(r.Members) {
		r.state = stateHeld
		return []Action{{Kind: ActionRun}}
	}
	r.since = now
	return r.reserve(now)
}

// Refused records a member's refusal by its engineapi kind; lack of room is waited out while lower members are held.
func (r *Reservation) Refused(now time.Time, server, kind string) []Action {
	if !r.awaits(server) {
		return nil
	}
	r.refused = true
	if kind != engineapi.RefusalMemory && kind != engineapi.RefusalBusy {
		return r.giveUp(ReasonRefused, true)
	}
	return r.later(now, ReasonMemory)
}

// Failed records that a member gave no answer, so that it may or may not hold the reservation.
func (r *Reservation) Failed(now time.Time, server string) []Action {
	if !r.awaits(server) {
		return nil
	}
	r.refused = false
	r.unsure = true
	return r.later(now, ReasonMember)
}

// Died records that a member's process has ended, which loses what it held.
func (r *Reservation) Died(_ time.Time, server string) []Action {
	if r.state != stateReserving && r.state != stateHeld {
		return nil
	}
	for _, m := range r.Members {
		if m.Server == server {
			return r.giveUp(ReasonMember, true)
		}
	}
	return nil
}

// Tick repeats what is due and ends what is late.
func (r *Reservation) Tick(now time.Time) []Action {
	if r.state != stateReserving && r.state != stateHeld {
		return nil
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return r.giveUp(ReasonDeadline, false)
	}
	if r.state != stateReserving || now.Before(r.due) {
		return nil
	}
	if now.Sub(r.since) >= r.patience() {
		return r.giveUp(ReasonMember, true)
	}
	r.unsure = r.unsure || !r.refused
	return r.reserve(now)
}

// Next returns when Tick is due, or the zero time.
func (r *Reservation) Next() time.Time {
	switch {
	case r.state == stateReserving && (r.Deadline.IsZero() || r.due.Before(r.Deadline)):
		return r.due
	case r.state == stateReserving || r.state == stateHeld:
		return r.Deadline
	default:
		return time.Time{}
	}
}

// Done frees all members after the run.
func (r *Reservation) Done(_ time.Time) []Action {
	if r.state == stateOver {
		return nil
	}
	actions := r.releaseAll()
	r.state = stateOver
	return actions
}

// Canceled frees what is held since the caller has left.
func (r *Reservation) Canceled(_ time.Time) []Action {
	if r.state == stateOver {
		return nil
	}
	return r.giveUp(ReasonCanceled, false)
}

func (r *Reservation) awaits(server string) bool {
	return r.state == stateReserving && r.Members[r.current].Server == server
}

// reserve asks the current member; repeating it has no effect on a member that already holds the reservation.
func (r *Reservation) reserve(now time.Time) []Action {
	r.refused = false
	r.due = now.Add(cmp.Or(r.Timeout, DefaultTimeout))
	return []Action{{
		Kind:       ActionReserve,
		Member:     r.Members[r.current],
		Allocation: AllocationID(r.ID, engineapi.KindReservation),
	}}
}

// later repeats the current member's try after a pause, or gives up when its patience would be over.
func (r *Reservation) later(now time.Time, reason Reason) []Action {
	r.due = now.Add(cmp.Or(r.Backoff, DefaultBackoff))
	if r.due.Sub(r.since) >= r.patience() {
		return r.giveUp(reason, true)
	}
	return nil
}

func (r *Reservation) giveUp(reason Reason, rebuild bool) []Action {
	actions := r.releaseAll()
	r.state = stateOver
	return append(actions, Action{
		Kind: ActionGiveUp, Reason: reason, Rebuild: rebuild,
		RetryAfter: cmp.Or(r.RetryAfter, DefaultRetryAfter),
	})
}

// releaseAll frees every member that holds or may hold memory, the last one first.
func (r *Reservation) releaseAll() []Action {
	if r.state == stateIdle || r.keep {
		return nil
	}
	last := min(r.current, len(r.Members)-1)
	if r.state == stateReserving && r.refused && !r.unsure {
		last--
	}
	var actions []Action
	for i := last; i >= 0; i-- {
		actions = append(actions, r.release(i))
	}
	return actions
}

func (r *Reservation) release(i int) Action {
	return Action{
		Kind:       ActionRelease,
		Member:     r.Members[i],
		Allocation: AllocationID(r.ID, engineapi.KindReservation),
	}
}

func (r *Reservation) releaseLate(server string) []Action {
	for i, m := range r.Members {
		if m.Server == server && !r.keep {
			return []Action{r.release(i)}
		}
	}
	return nil
}

func (r *Reservation) patience() time.Duration { return cmp.Or(r.Patience, DefaultPatience) }
