package relay

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// placementRequest returns the request for a server for a new attempt. Its times are relative to now. Once events have
// been forwarded, the pause target takes the place of the first-event target, and the time until the caller disconnects
// counts from the last forwarded event. The caller of a call without a prompt is not expected to disconnect before the
// deadline.
func (t *transfer) placementRequest(a *attempt) planner.Request {
	c := t.call
	now := steady.Now()
	elapsed := now.Sub(c.Received)
	expectedTokens := c.OutputHint
	if expectedTokens == 0 || expectedTokens > c.OutputTokens {
		expectedTokens = c.OutputTokens
	}
	firstTarget := c.FirstTarget - elapsed
	pauseTimeout := disconnectPause(c)
	untilDisconnect := pauseTimeout - elapsed
	if t.events.forwarded > 0 {
		firstTarget = c.PauseTarget
		untilDisconnect = pauseTimeout - now.Sub(t.lastForwarded)
	}
	if c.PromptTokens == 0 {
		untilDisconnect = 0
	}
	excluded := t.relay.pauses.IDs(now)
	for _, r := range a.tried {
		excluded = append(excluded, r.ID)
	}
	return planner.Request{
		Service:          c.Service,
		PromptTokens:     c.PromptTokens,
		OutputTokens:     c.OutputTokens,
		LikelyTokens:     expectedTokens,
		FirstTarget:      firstTarget,
		PauseTarget:      c.PauseTarget,
		Deadline:         c.Deadline().Sub(now),
		Priority:         c.Priority,
		ExcludedReplicas: excluded,
		Fingerprint:      t.fingerprint,
		PromptParts:      c.PromptParts,
		UntilDisconnect:  untilDisconnect,
		PauseTimeout:     pauseTimeout,
		Resumed:          t.events.forwarded > 0,
		Workspace:        c.Workspace,
		Route:            c.Route,
		AllowedRegions:   c.AllowedRegions,
		Bytes:            t.relay.Crossings.ExpectedBytes(c.Service, len(c.Body)),
		CrossingDelay:    t.relay.Crossings.Delay(),
	}
}

// place asks the planner for a server for c until it names one that may receive the call, refuses the call or ctx ends.
// It sets the ID of the request. When the host begins to stop, it asks again.
func (r *Relay) place(ctx context.Context, c *call.Call, req planner.Request) (planner.Result, error) {
	for {
		requestedAt := steady.Now()
		result, err := r.placeOnce(ctx, requestedAt, req)
		now := steady.Now()
		r.Metrics.Timer("planning").Record(now.Sub(requestedAt))
		switch {
		case err != nil && ctx.Err() == nil: // the stop has begun
		case err != nil || result.Plan == nil:
			return result, err
		default:
			r.logPlan(c, result.Plan, now.Sub(requestedAt))
			if r.maySend(result) && r.allowsRegions(c, result.Plan) {
				return result, nil
			}
			r.PlannerClient.Ended(result.ID, planner.OutcomeCanceled, planner.Pause{})
			req.ExcludedReplicas = append(req.ExcludedReplicas, r.withdrawnReplicas(c, result.Plan, req.ExcludedReplicas)...)
		}
		req.SubtractElapsed(now.Sub(requestedAt))
	}
}

// placeOnce asks the planner for a server until it has decided, ctx ends or the host begins to stop. The times in req are
// relative to now.
func (r *Relay) placeOnce(ctx context.Context, now time.Time, req planner.Request) (planner.Result, error) {
	ctx, cancel := r.stop.untilBegun(ctx)
	defer cancel()
	r.stop.limit(now, &req)
	req.ID = strconv.FormatUint(r.lastPlacementID.Add(1), 36)
	return r.PlannerClient.Place(ctx, req)
}

// withdrawnReplicas returns the replicas that the planner must not name again after a plan that may not be used: those in
// evacuated failure domains if that is why, so that a planner which doesn't know of the evacuation names none of them. If
// those are excluded already, it is the primary replica, so that the plans come to an end.
func (r *Relay) withdrawnReplicas(c *call.Call, p *planner.Plan, excluded []string) []string {
	if !r.PlannerClient.IsEvacuated(p) {
		return []string{p.Replica.ID}
	}
	evacuated := slices.DeleteFunc(r.PlannerClient.EvacuatedReplicas(c.Service), func(id string) bool {
		return slices.Contains(excluded, id)
	})
	if len(evacuated) == 0 {
		return []string{p.Replica.ID}
	}
	return evacuated
}

// allowsRegions reports whether the replicas of a plan are known to be in regions that the call allows. A planner of an earlier
// version knows nothing of regions.
func (r *Relay) allowsRegions(c *call.Call, p *planner.Plan) bool {
	return len(c.AllowedRegions) == 0 || r.Regions != nil && r.Regions.AllowPlan(c.AllowedRegions, p)
}

// passes returns which other hosts may pass on a call; nil for any.
func (r *Relay) passes(c *call.Call) func(host netip.AddrPort) bool {
	if len(c.AllowedRegions) == 0 {
		return nil
	}
	return func(host netip.AddrPort) bool { return r.Regions != nil && r.Regions.AllowHost(c.AllowedRegions, host) }
}

// maySend reports whether a call may be sent as planned: its server hasn't left and hasn't asked this host for a pause, its
// limit allows the call, and neither it nor a helper replica is evacuated. The planner may not know that yet, or the plan may be
// old.
func (r *Relay) maySend(result planner.Result) bool {
	return !r.isWithdrawn(result.Plan) && !r.pauses.Paused(steady.Now(), result.Plan.Replica) && r.PlannerClient.MaySend(result)
}

// isWithdrawn reports whether the server of a plan has left, or it or a helper replica is evacuated.
func (r *Relay) isWithdrawn(p *planner.Plan) bool {
	return r.PlannerClient.IsEvacuated(p) || r.PlannerClient.HasLeft(p.Replica) // in this order, since the first may wait
}

func (r *Relay) logPlan(c *call.Call, p *planner.Plan, askedFor time.Duration) {
	r.Log.Event("request_planned", slog.String("request_id", c.ID), slog.String("route", c.Route),
		slog.String("replica", p.Replica.ID), slog.String("helpers", helperNames(p.Helpers)),
		eventlog.Milliseconds("first_ms", p.FirstEventTime), eventlog.Milliseconds("pass_ms", p.PassTime),
		eventlog.Milliseconds("asked_for_ms", askedFor), slog.Int("prompt_tokens", c.PromptTokens),
		slog.Int64("config_version", c.ConfigVersion))
}

// noteRequests takes over what the head of a response says about further requests to its server. A response of another
// server than the planned one says nothing about that one.
func (a *attempt) noteRequests(head *backend.ResponseHead) {
	if head.Status == http.StatusMisdirectedRequest && head.NotRun {
		return
	}
	server := a.placement.Plan.Replica
	if head.Leaving {
		a.relay.PlannerClient.Leaving(server)
	}
	if head.Pause > 0 {
		a.pause = planner.Pause{Length: head.Pause, Common: !a.exchange.Direct()}
		now := steady.Now()
		a.relay.pauses.Add(now, server, now.Add(head.Pause))
		a.relay.Log.Event("replica_asks_for_pause", slog.String("replica", server.ID),
			slog.String("request_id", a.call.ID), eventlog.Milliseconds("retry_after_ms", head.Pause))
	}
	if head.NamesCold {
		a.relay.PlannerClient.NamedCold(server, a.sentAt, head.Cold)
	}
	if head.Limited || head.Valid || head.NotRun {
		a.relay.PlannerClient.NamedLimit(server, a.sentAt, head.Limited, head.Limit)
	}
}

// disconnectPause returns the pause after which callers are expected to disconnect from a stream. It applies before the
// first event, too.
func disconnectPause(c *call.Call) time.Duration {
	const (
		minPause          = 2 * time.Second
		firstTargetFactor = 4 // multiple of the first-event target
		pauseTargetFactor = 8 // multiple of the pause target
	)
	return max(minPause, firstTargetFactor*c.FirstTarget, pauseTargetFactor*c.PauseTarget)
}

// partNames returns the hashes of prompt parts in hexadecimal, separated by spaces.
func partNames(parts []uint64) string {
	names := make([]string, 0, len(parts))
	for _, p := range parts {
		names = append(names, strconv.FormatUint(p, 16))
	}
	return strings.Join(names, " ")
}

func helperNames(helpers []planner.Helper) string {
	names := make([]string, 0, len(helpers))
	for _, h := range helpers {
		names = append(names, h.Replica)
	}
	return strings.Join(names, " ")
}
