package relay

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	// Reservations have a short lease that is renewed, so that none remains after the host fails.
	reservationLease = 3 * time.Second
	renewalInterval  = time.Second

	// How long a helper may take to confirm that it is at its address.
	confirmTimeout = 150 * time.Millisecond
	// Timeout of one command to an engine.
	commandTimeout       = 500 * time.Millisecond
	maxReleaseAttempts   = 5
	releaseRetryInterval = 200 * time.Millisecond
)

// reservation is memory reserved at one engine.
type reservation struct {
	engine replica.Location
	ticket string // names the reservation at the engine
	tokens int    // size in tokens
}

// lastTicket is the number in the ticket that was issued last.
var lastTicket atomic.Uint64

// reserveAtHelpers reserves the memory that the plan requires at helper replicas and adds the helpers to parameters. All
// reservations are released in the background when the attempt ends. Helpers without a reservation are left out unless they are
// known to be at their addresses, by which alone a request names them.
func (a *attempt) reserveAtHelpers(ctx context.Context, parameters *backend.Attempt) error {
	var held context.Context
	held, a.releaseMemory = context.WithCancel(context.Background())
	var unreserved []planner.Helper
	for _, h := range a.placement.Plan.Helpers {
		if h.ReservedTokens == 0 {
			unreserved = append(unreserved, h)
			continue
		}
		if err := a.checkEvacuated(); err != nil {
			return err
		}
		ticket := a.call.ID + "-" + strconv.FormatUint(lastTicket.Add(1), 36)
		res := reservation{engine: h.Location(), ticket: ticket, tokens: h.ReservedTokens}
		err := a.relay.reserveOrRenew(ctx, res)
		if a.recordHelperGone(res.engine, err) {
			return err
		}
		go a.relay.maintainReservation(held, a.call.ID, res)
		if err != nil {
			a.leaveOut(res.engine)
			return err
		}
		parameters.Helpers = append(parameters.Helpers, backend.Helper{Address: h.Address, Ticket: ticket})
	}
	if len(unreserved) == 0 {
		return nil
	}
	if err := a.checkEvacuated(); err != nil {
		return err
	}
	parameters.Helpers = append(parameters.Helpers, a.confirmedHelpers(ctx, unreserved)...)
	return nil
}

// checkEvacuated returns an error if a server of the plan is evacuated, so that it must not get anything.
func (a *attempt) checkEvacuated() error {
	if !a.relay.PlannerClient.IsEvacuated(a.placement.Plan) {
		return nil
	}
	a.withdrawn = true
	return errors.New("a server of the plan is evacuated")
}

// confirmedHelpers returns those of the helpers that are at their addresses.
func (a *attempt) confirmedHelpers(ctx context.Context, helpers []planner.Helper) []backend.Helper {
	isThere := make([]bool, len(helpers))
	var checks sync.WaitGroup
	for i, h := range helpers {
		checks.Go(func() { isThere[i] = a.confirm(ctx, h.Location()) })
	}
	checks.Wait()
	var confirmed []backend.Helper
	for i, h := range helpers {
		if isThere[i] {
			confirmed = append(confirmed, backend.Helper{Address: h.Address})
		}
	}
	return confirmed
}

// confirm reports whether a helper is at its address, by a command that names it. It tells the planner if another server is.
func (a *attempt) confirm(ctx context.Context, helper replica.Location) (isThere bool) {
	defer func() {
		if cause := recover(); cause != nil {
			a.relay.logPanic(a.call.ID, cause)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := a.relay.Memory.Confirm(ctx, helper)
	switch {
	case err == nil:
		return true
	case isMisdirected(err):
		a.relay.reportGone(a.call.ID, helper, err)
	default:
		a.relay.Log.Event("helper_left_out", slog.String("request_id", a.call.ID), slog.String("replica", helper.ID),
			slog.String("error", err.Error()))
	}
	return false
}

// recordHelperGone reports whether err says that another server has the address of a helper. It then tells the planner and leaves
// the helper out.
func (a *attempt) recordHelperGone(helper replica.Location, err error) bool {
	if !isMisdirected(err) {
		return false
	}
	a.relay.reportGone(a.call.ID, helper, err)
	a.leaveOut(helper)
	return true
}

// leaveOut has the call placed anew without a helper, because of which the primary replica has got nothing.
func (a *attempt) leaveOut(helper replica.Location) {
	a.withdrawn = true
	a.faultyHelper = helper
}

// reportGone tells the planner that another server has the address of a replica, as err says.
func (r *Relay) reportGone(requestID string, at replica.Location, err error) {
	r.Log.Warn("replica_misdirected", slog.String("request_id", requestID), slog.String("replica", at.ID),
		slog.String("address", at.Address.String()), slog.String("error", err.Error()))
	r.PlannerClient.Misdirected(at)
}

// isMisdirected reports whether err says that another server than the one that was named has responded.
func isMisdirected(err error) bool {
	var failure *backend.Error
	return errors.As(err, &failure) && failure.Kind == backend.KindMisdirected
}

// reserveOrRenew reserves the memory or renews its lease.
func (r *Relay) reserveOrRenew(ctx context.Context, res reservation) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return r.Memory.Reserve(ctx, res.engine, res.ticket, res.tokens, reservationLease)
}

// maintainReservation renews a reservation until ctx ends and then releases it. If another server has the engine's address, the
// reservation has gone with the engine.
func (r *Relay) maintainReservation(ctx context.Context, requestID string, res reservation) {
	defer func() {
		if cause := recover(); cause != nil {
			r.logPanic(requestID, cause) // the reservation expires with its lease
		}
	}()
	for wait.For(ctx, renewalInterval); ctx.Err() == nil; wait.For(ctx, renewalInterval) {
		// The renewal doesn't use ctx: if it were canceled, it might arrive at the engine after the release.
		err := r.reserveOrRenew(context.Background(), res)
		if isMisdirected(err) {
			r.reportGone(requestID, res.engine, err)
			return
		}
		if err != nil {
			r.Log.Warn("renewal_failed", slog.String("request_id", requestID), slog.String("engine", res.engine.Address.String()),
				slog.String("ticket", res.ticket), slog.String("error", err.Error()))
		}
	}
	r.releaseReservation(requestID, res)
}

// releaseReservation releases reserved memory. It retries until the engine confirms the release, another server has its address,
// or maxReleaseAttempts is reached; in that case the reservation expires with its lease.
func (r *Relay) releaseReservation(requestID string, res reservation) {
	start := steady.Now()
	var err error
	for range maxReleaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		err = r.Memory.Release(ctx, res.engine, res.ticket)
		cancel()
		if err == nil {
			return
		}
		if isMisdirected(err) {
			r.reportGone(requestID, res.engine, err)
			return
		}
		time.Sleep(releaseRetryInterval)
	}
	r.Log.Warn("release_failed", slog.String("request_id", requestID), slog.String("engine", res.engine.Address.String()),
		slog.String("ticket", res.ticket), slog.String("error", err.Error()),
		eventlog.Milliseconds("tried_for_ms", steady.Now().Sub(start)))
}
