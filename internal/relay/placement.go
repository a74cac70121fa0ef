package relay

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// requestPlacement asks the planner for a server for the next attempt. Times in the request are relative to now. Once
// events have been forwarded, the pause target takes the place of the first-event target, and the time until the caller
// disconnects counts from the last forwarded event. The caller of a call without a prompt is not expected to disconnect
// before the deadline.
func (t *transfer) requestPlacement() (planner.Result, error) {
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
	req := planner.Request{
		ID:               strconv.FormatUint(t.relay.lastPlacementID.Add(1), 36),
		Service:          c.Service,
		PromptTokens:     c.PromptTokens,
		OutputTokens:     c.OutputTokens,
		LikelyTokens:     expectedTokens,
		FirstTarget:      firstTarget,
		PauseTarget:      c.PauseTarget,
		Deadline:         c.Deadline().Sub(now),
		Priority:         c.Priority,
		ExcludedReplicas: append(t.relay.pauses.IDs(now), t.excludedReplicas...),
		Fingerprint:      t.fingerprint,
		PromptParts:      c.PromptParts,
		UntilDisconnect:  untilDisconnect,
		PauseTimeout:     pauseTimeout,
		Resumed:          t.events.forwarded > 0,
	}
	result, err := t.relay.PlannerClient.Place(t.ctx, req)
	t.relay.Metrics.Timer("planning").Record(steady.Now().Sub(now))
	if err != nil {
		return result, err
	}
	if p := result.Plan; p != nil {
		t.relay.Log.Event("request_planned", slog.String("request_id", c.ID), slog.String("route", c.Route),
			slog.String("replica", p.Replica.ID), slog.String("helpers", helperNames(p.Helpers)),
			eventlog.Milliseconds("first_ms", p.FirstEventTime), eventlog.Milliseconds("pass_ms", p.PassTime),
			eventlog.Milliseconds("asked_for_ms", steady.Now().Sub(now)), slog.Int("prompt_tokens", c.PromptTokens),
			slog.Int64("config_version", c.ConfigVersion))
	}
	return result, nil
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
