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

func (t *transfer) ask() (planner.Answer, error) {
	c := t.call
	now := steady.Now()
	passed := now.Sub(c.Received)
	likely := c.OutputHint
	if likely == 0 || likely > c.OutputTokens {
		likely = c.OutputTokens
	}
	firstAim := c.FirstAim - passed
	maxPause := callerPause(c)
	leave := maxPause - passed
	if t.events.count > 0 {
		firstAim = c.GapAim
		leave = maxPause - now.Sub(t.passed)
	}
	if c.PromptTokens == 0 {
		leave = 0
	}
	a := planner.Ask{
		ID:           strconv.FormatUint(t.relay.asks.Add(1), 36),
		Service:      c.Service,
		PromptTokens: c.PromptTokens,
		OutputTokens: c.OutputTokens,
		LikelyTokens: likely,
		FirstAim:     firstAim,
		GapAim:       c.GapAim,
		Deadline:     c.Deadline().Sub(now),
		Rank:         c.Rank,
		Avoid:        t.avoid,
		Fingerprint:  t.hash,
		Leave:        leave,
		MaxPause:     maxPause,
	}
	placed, err := t.relay.Desk.Ask(t.ctx, a)
	t.relay.Meters.Timer("planning").Record(steady.Now().Sub(now))
	if err != nil {
		return placed, err
	}
	if p := placed.Plan; p != nil {
		t.relay.Log.Event("request_planned", slog.String("request_id", c.ID), slog.String("route", c.Route),
			slog.String("replica", p.Replica.ID), slog.String("helpers", helperNames(p.Helpers)),
			eventlog.Milliseconds("first_ms", p.First), eventlog.Milliseconds("pass_ms", p.Pass),
			eventlog.Milliseconds("asked_for_ms", steady.Now().Sub(now)), slog.Int("prompt_tokens", c.PromptTokens),
			slog.Int64("config_version", c.ConfigSeen))
	}
	return placed, nil
}

// callerPause returns after which pause, also before the first event, callers leave a stream.
func callerPause(c *call.Call) time.Duration {
	const (
		shortest = 2 * time.Second
		aims     = 4
		gaps     = 8
	)
	return max(shortest, aims*c.FirstAim, gaps*c.GapAim)
}

func helperNames(helpers []planner.Helper) string {
	names := make([]string, 0, len(helpers))
	for _, h := range helpers {
		names = append(names, h.Replica)
	}
	return strings.Join(names, " ")
}
