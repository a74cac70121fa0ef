package relay

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// maxStatus is the highest status that a response can have.
const maxStatus = 599

// attempt is one attempt to run a call at a backend server, from its placement to the end of the response.
type attempt struct {
	relay     *Relay
	call      *call.Call
	placement planner.Result    // with a plan
	resume    bool              // the stream was begun in an earlier attempt
	lastEvent int64             // with resume: id of the last event that the caller has
	tried     []replica.Replica // in earlier attempts

	sentAt        time.Time         // when the call was sent
	exchange      *backend.Exchange // nil until the head of the response has come
	pause         planner.Pause     // that the server has asked for
	start         []byte            // start of the body that a hedge has read
	pending       pendingMemory     // of start
	response      *response         // the complete response, if it isn't a stream and was read
	releaseMemory func()            // releases the memory that is reserved at helpers; nil before
	ended         bool              // end was called
	withdrawn     bool              // nothing was sent, since the server may not get the call any more
	faultyHelper  replica.Location  // the helper replica because of which the attempt has failed; zero if none
}

// begin sends the call and reads the head of the response. It returns an error, and the outcome of the attempt, unless
// the response may be forwarded.
func (a *attempt) begin(ctx context.Context, maxSilence time.Duration, extraWait backend.ExtraWait) (
	planner.Outcome, error,
) {
	plan := a.placement.Plan
	parameters := &backend.Attempt{
		Replica:       plan.Replica,
		TimeLeft:      a.call.Deadline().Sub(steady.Now()),
		Resume:        a.resume,
		LastEvent:     a.lastEvent,
		Priority:      min(a.call.Priority, maxPriority),
		NewConnection: a.hasTried(plan.Replica.Address),
		MaySend:       func() bool { return !a.relay.isWithdrawn(plan) },
		Passes:        a.relay.passes(a.call),
	}
	if err := a.reserveAtHelpers(ctx, parameters); err != nil {
		return planner.OutcomeRefused, err
	}
	if len(parameters.Helpers) > 0 && !a.relay.maySend(a.placement) {
		a.withdrawn = true
		return planner.OutcomeRefused, errors.New("the server may not get the call any more")
	}
	a.sentAt = steady.Now()
	x, err := a.relay.Pool.Open(ctx, a.call, parameters, maxSilence, extraWait)
	if err != nil {
		var failure *backend.Error
		a.withdrawn = errors.As(err, &failure) && failure.Kind == backend.KindWithdrawn
		return outcomeOf(err), err
	}
	a.exchange = x
	a.noteRequests(x.Head)
	switch {
	case x.Head.Status < http.StatusOK || x.Head.Status > maxStatus:
		return planner.OutcomeBroken, errors.Errorf("%d is not the status of a response", x.Head.Status)
	case x.Head.NotRun:
		a.faultyHelper = a.helperAt(x.Head.AtFault)
		if a.wasMisdirected(x.Head) {
			a.relay.reportGone(a.call.ID, plan.Replica.Location(), errors.Errorf("status %d by %q", x.Head.Status, x.Head.Responder))
		}
		body, err := x.ReadAll(ctx, a.relay.Payloads, maxResponseBytes)
		if err == nil {
			a.relay.Payloads.Release(body)
			x.Finish()
		}
		return planner.OutcomeRefused, errors.Errorf("status %d", x.Head.Status)
	case !x.Head.Valid:
		return planner.OutcomeBroken, errors.Errorf("status %d: not a valid response of a backend server", x.Head.Status)
	}
	return "", nil
}

// wasMisdirected reports whether a response says that another server has the address of the planned one.
func (a *attempt) wasMisdirected(head *backend.ResponseHead) bool {
	if !head.Misdirected {
		return false
	}
	if head.Responder == "" {
		return !a.call.ChecksVersion
	}
	return head.Responder != a.placement.Plan.Replica.ID
}

// helperAt returns the helper replica of the plan with the given ID or address, zero if there is none.
func (a *attempt) helperAt(name string) replica.Location {
	for _, h := range a.placement.Plan.Helpers {
		if name == h.Replica || name == h.Address.String() {
			return h.Location()
		}
	}
	return replica.Location{}
}

// hasTried reports whether the call was sent to an address in an earlier attempt. A response that comes late on a connection to it
// can't be told from that to this attempt, since both name the call.
func (a *attempt) hasTried(address netip.AddrPort) bool {
	return slices.ContainsFunc(a.tried, func(r replica.Replica) bool { return r.Address == address })
}

// unusable returns the replica that later attempts must not use after this one has failed: its primary replica, or the helper
// replica at fault.
func (a *attempt) unusable() replica.Replica {
	if a.faultyHelper.ID != "" {
		return replica.Replica{ID: a.faultyHelper.ID, Address: a.faultyHelper.Address}
	}
	return a.placement.Plan.Replica
}

// through returns the address of the host through which the call goes to its server, or "" if it goes there directly.
func (a *attempt) through() string {
	if a.exchange == nil || a.exchange.Direct() {
		return ""
	}
	return a.exchange.Peer()
}

// transmission returns what was sent of the call in this attempt, which has ended with err.
func (a *attempt) transmission(err error) backend.Transmission {
	var failure *backend.Error
	switch {
	case a.exchange != nil:
		return a.exchange.Transmission()
	case errors.As(err, &failure):
		return failure.Transmission
	default:
		return backend.Transmission{}
	}
}

// isStream reports whether the response is a stream of events.
func (a *attempt) isStream() bool {
	return a.call.Stream && a.exchange.Head.Status < http.StatusMultipleChoices
}

// readResponse reads a complete response that isn't a stream. One with a 5xx status is a failure.
func (a *attempt) readResponse(ctx context.Context) (planner.Outcome, error) {
	if a.response == nil {
		body, err := a.exchange.ReadAll(ctx, a.relay.Payloads, maxResponseBytes)
		if err != nil {
			return outcomeOf(err), err
		}
		a.exchange.Finish()
		a.response = &response{head: a.exchange.Head, body: body}
	}
	if a.response.isFailure() {
		return planner.OutcomeFailed, errors.Errorf("status %d", a.exchange.Head.Status)
	}
	return "", nil
}

// Read reads the body of a stream.
func (a *attempt) Read(b []byte) (int, error) {
	if len(a.start) == 0 {
		return a.exchange.Read(b)
	}
	n := copy(b, a.start)
	a.start = a.start[n:]
	if len(a.start) == 0 {
		a.start = nil
		a.pending.release()
	}
	return n, nil
}

// end ends the attempt and reports its outcome to the planner.
func (a *attempt) end(outcome planner.Outcome) {
	a.ended = true
	a.pending.release()
	if a.response != nil {
		a.relay.Payloads.Release(a.response.body)
	}
	if a.exchange != nil {
		a.exchange.Abort()
		sent := a.exchange.Transmission()
		a.relay.Crossings.Record(a.call.Service, a.placement.Plan.Replica.FailureDomain, sent.Written, sent.Read)
	}
	if a.releaseMemory != nil {
		a.releaseMemory()
	}
	if a.withdrawn || a.faultyHelper.ID != "" {
		outcome = planner.OutcomeCanceled // the primary replica isn't to blame
	}
	a.relay.PlannerClient.Ended(a.placement.ID, outcome, a.pause)
}

// outcomeOf returns the outcome of an attempt that ended with err.
func outcomeOf(err error) planner.Outcome {
	var unread *payload.Error
	if errors.As(err, &unread) && unread.Kind == payload.KindNoMemory {
		return planner.OutcomeFailed
	}
	var failure *backend.Error
	if !errors.As(err, &failure) {
		return planner.OutcomeBroken
	}
	switch failure.Kind {
	case backend.KindUnreachable:
		return planner.OutcomeUnreachable
	case backend.KindSilent:
		return planner.OutcomeSilent
	case backend.KindCanceled:
		return planner.OutcomeCanceled
	case backend.KindWithdrawn:
		return planner.OutcomeRefused
	default:
		return planner.OutcomeBroken
	}
}
