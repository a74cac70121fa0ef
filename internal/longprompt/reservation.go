package longprompt

import (
	"cmp"
	"fmt"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Kinds of an Action.
const (
	ActionReserve ActionKind = iota // reserve Member.Bytes on Member under the ID Allocation
	ActionRelease                   // free Allocation on Member; repeat the call until Member confirms it
	ActionRun                       // memory is reserved on all members: run the prompt
	ActionPrefill                   // prefill Member's part of the prompt on top of Imports, without output
	ActionExport                    // export the part that Member has prefilled
	ActionDecode                    // prefill Member's part on top of Imports and decode the output
	ActionGiveUp                    // stop: the request can't run on these members
)

// Reasons for an ActionGiveUp.
const (
	ReasonMemory       Reason = "memory"   // a member lacked memory or was busy for longer than MaxWait
	ReasonRefused      Reason = "refused"  // a member refused the reservation for another cause than these
	ReasonMemberFailed Reason = "member"   // a member's process has ended, or it does not respond
	ReasonPart         Reason = "step"     // a member refused or aborted its part
	ReasonDeadline     Reason = "deadline" // the deadline of the request has passed
	ReasonCanceled     Reason = "canceled" // the caller has disconnected
)

// Defaults of the fields of a Reservation.
const (
	DefaultMaxWait    = 3 * time.Second
	DefaultTryTimeout = time.Second
	DefaultBackoff    = 100 * time.Millisecond
	DefaultRetryAfter = 10 * time.Second
)

type (
	// ActionKind says what an Action is.
	ActionKind uint8

	// Reason says why a Reservation or Chain gave up.
	Reason string

	// Action is an operation that the code using this package must perform.
	Action struct {
		Kind       ActionKind
		Member     Member
		Allocation string             // for ActionReserve and ActionRelease
		Imports    []engineapi.Import // for ActionPrefill and ActionDecode
		Reason     Reason             // for ActionGiveUp
		RetryAfter time.Duration      // for ActionGiveUp: when the caller may try again
		Replan     bool               // for ActionGiveUp: a new plan may still succeed before the deadline
	}
)

// States of a Reservation.
const (
	stateIdle state = iota
	stateReserving
	stateReserved
	stateEnded
)

type state uint8

// Reservation is the state machine that reserves memory on all members or, if one of them fails, on none.
//
// It reserves on one member at a time in the order of Members, which must ascend by server name.
type Reservation struct {
	ID         protocol.AttemptID
	Members    []Member
	Deadline   time.Time     // deadline of the request; zero means none
	Expiry     time.Duration // time until a reservation expires on its engine
	MaxWait    time.Duration // longest time for all tries on one member; 0 means DefaultMaxWait
	TryTimeout time.Duration // for the response to one try; 0 means DefaultTryTimeout
	Backoff    time.Duration // between tries on one member; 0 means DefaultBackoff
	RetryAfter time.Duration // RetryAfter of an ActionGiveUp; 0 means DefaultRetryAfter

	state    state
	current  int       // index of the member that is asked for its reservation
	firstTry time.Time // when the first try on the current member was sent
	retryAt  time.Time // when the next try is sent
	refused  bool      // the current member has refused the last try
	mayHold  bool      // an earlier try had no response: the current member may hold memory in spite of a refusal

	keepReservations bool // never frees a reservation; for tests
}

// AllocationID returns the ID of an attempt's allocation; kind is an engineapi allocation kind.
func AllocationID(id protocol.AttemptID, kind string) string {
	return fmt.Sprintf("%s.%d.%s", id.Request, id.Attempt, kind)
}

// Start asks the first member for its reservation; it returns nil if the Reservation was started before.
func (r *Reservation) Start(now time.Time) []Action {
	if r.state != stateIdle {
		return nil
	}
	r.state = stateReserving
	r.firstTry = now
	return r.reserve(now)
}

// Reserved records that a member has confirmed its reservation, and asks the next member. After the last one it returns
// ActionRun. A reservation that is confirmed after the end is released.
func (r *Reservation) Reserved(now time.Time, server string) []Action {
	if r.state == stateEnded {
		return r.releaseLate(server)
	}
	if r.state != stateReserving || server != r.Members[r.current].Server {
		return nil
	}
	r.current++
	r.refused = false
	r.mayHold = false
	if r.current == len(r.Members) {
		r.state = stateReserved
		return []Action{{Kind: ActionRun}}
	}
	r.firstTry = now
	return r.reserve(now)
}

// Refused records that a member has refused its reservation; kind is an engineapi refusal kind.
//
// If the member lacks memory or is busy, it is asked again until MaxWait is over, while the members before it keep
// their reservations. Any other refusal ends the reservation at once.
func (r *Reservation) Refused(now time.Time, server, kind string) []Action {
	if !r.awaits(server) {
		return nil
	}
	r.refused = true
	if kind != engineapi.RefusalMemory && kind != engineapi.RefusalBusy {
		return r.giveUp(ReasonRefused, true)
	}
	return r.retryLater(now, ReasonMemory)
}

// Failed records that a member did not respond, so that it may or may not hold the reservation.
func (r *Reservation) Failed(now time.Time, server string) []Action {
	if !r.awaits(server) {
		return nil
	}
	r.refused = false
	r.mayHold = true
	return r.retryLater(now, ReasonMemberFailed)
}

// ProcessEnded records that a member's process has ended, and its reservation with it; the Reservation gives up.
func (r *Reservation) ProcessEnded(_ time.Time, server string) []Action {
	if r.state != stateReserving && r.state != stateReserved {
		return nil
	}
	for _, m := range r.Members {
		if m.Server == server {
			return r.giveUp(ReasonMemberFailed, true)
		}
	}
	return nil
}

// Tick repeats a try that is due, and gives up once the deadline has passed or MaxWait is over.
func (r *Reservation) Tick(now time.Time) []Action {
	if r.state != stateReserving && r.state != stateReserved {
		return nil
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return r.giveUp(ReasonDeadline, false)
	}
	if r.state != stateReserving || now.Before(r.retryAt) {
		return nil
	}
	if now.Sub(r.firstTry) >= r.maxWait() {
		return r.giveUp(ReasonMemberFailed, true)
	}
	r.mayHold = r.mayHold || !r.refused
	return r.reserve(now)
}

// Next returns when Tick must be called next, or the zero time if it need not be called.
func (r *Reservation) Next() time.Time {
	switch {
	case r.state == stateReserving && (r.Deadline.IsZero() || r.retryAt.Before(r.Deadline)):
		return r.retryAt
	case r.state == stateReserving || r.state == stateReserved:
		return r.Deadline
	default:
		return time.Time{}
	}
}

// Completed frees the reservations on all members after the prompt has run.
func (r *Reservation) Completed(_ time.Time) []Action {
	if r.state == stateEnded {
		return nil
	}
	actions := r.releaseAll()
	r.state = stateEnded
	return actions
}

// Canceled frees all reservations because the caller has disconnected.
func (r *Reservation) Canceled(_ time.Time) []Action {
	if r.state == stateEnded {
		return nil
	}
	return r.giveUp(ReasonCanceled, false)
}

// awaits reports whether server is the member that is asked for its reservation.
func (r *Reservation) awaits(server string) bool {
	return r.state == stateReserving && r.Members[r.current].Server == server
}

// reserve asks the current member for its reservation. A repeated request has no effect on a member that already holds
// the reservation.
func (r *Reservation) reserve(now time.Time) []Action {
	r.refused = false
	r.retryAt = now.Add(cmp.Or(r.TryTimeout, DefaultTryTimeout))
	return []Action{{
		Kind:       ActionReserve,
		Member:     r.Members[r.current],
		Allocation: AllocationID(r.ID, engineapi.KindReservation),
	}}
}

// retryLater schedules the next try on the current member after Backoff, or gives up if MaxWait would be over by then.
func (r *Reservation) retryLater(now time.Time, reason Reason) []Action {
	r.retryAt = now.Add(cmp.Or(r.Backoff, DefaultBackoff))
	if r.retryAt.Sub(r.firstTry) >= r.maxWait() {
		return r.giveUp(reason, true)
	}
	return nil
}

// giveUp frees all reservations and ends; rebuild says whether a new plan may still succeed.
func (r *Reservation) giveUp(reason Reason, rebuild bool) []Action {
	actions := r.releaseAll()
	r.state = stateEnded
	return append(actions, Action{
		Kind: ActionGiveUp, Reason: reason, Replan: rebuild,
		RetryAfter: cmp.Or(r.RetryAfter, DefaultRetryAfter),
	})
}

// releaseAll frees the reservations of all members that hold or may hold one, from the last member to the first.
func (r *Reservation) releaseAll() []Action {
	if r.state == stateIdle || r.keepReservations {
		return nil
	}
	last := min(r.current, len(r.Members)-1)
	if r.state == stateReserving && r.refused && !r.mayHold {
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

// releaseLate frees a reservation that was confirmed after the end.
func (r *Reservation) releaseLate(server string) []Action {
	for i, m := range r.Members {
		if m.Server == server && !r.keepReservations {
			return []Action{r.release(i)}
		}
	}
	return nil
}

func (r *Reservation) maxWait() time.Duration { return cmp.Or(r.MaxWait, DefaultMaxWait) }
