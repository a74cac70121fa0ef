package placement

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// placedRequest is a placed request in progress. It is kept so that the request can be reported to a new planner.
type placedRequest struct {
	placement       planner.Placement
	requestedAt     time.Time // when the placement was requested; placementAt deducts the time since then
	replica         replica.Replica
	firstEvent      time.Time // when the planner has predicted the first event
	writingSince    time.Time // when the first event arrived; zero before
	plannerBypassed bool      // planned here in place of another host's planner that did not reply
}

// placementAt returns the placement with its remaining times at now.
func (p *placedRequest) placementAt(now time.Time) planner.Placement {
	placement := p.placement
	placement.Request.SubtractElapsed(now.Sub(p.requestedAt))
	placement.FirstEvent = max(p.firstEvent.Sub(now), 1)
	return placement
}

// track keeps a placed request so that it can be reported to a new planner. If this host planned the request instead of
// another host's planner, it reports the placement to that planner at once.
func (c *Client) track(req planner.Request, result planner.Result, requestedAt time.Time) {
	now := steady.Now()
	placed := &placedRequest{
		placement:   planner.Placement{Request: req, Replica: result.Plan.Replica.ID, Helpers: result.Plan.Helpers},
		requestedAt: requestedAt,
		replica:     result.Plan.Replica,
		firstEvent:  now.Add(result.Plan.FirstEventTime),
	}
	c.placed[req.ID] = placed
	if !strings.HasSuffix(req.ID, bypassIDSuffix) {
		return
	}
	placed.plannerBypassed = true
	if p := c.linkToPlanner(); p != nil {
		placements := []planner.Placement{placed.placementAt(now)}
		p.link.Send(&link.Message{PlacementSync: &link.PlacementSync{Placements: placements}})
	}
}

// Started notifies the planner that the first event of the request with the given id has arrived.
func (c *Client) Started(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	placed := c.placed[id]
	if placed == nil {
		return
	}
	placed.placement.Decoding = true
	now := steady.Now()
	placed.writingSince = now
	if c.plannerAddress == c.self() || placed.plannerBypassed {
		c.localPlanner.Started(now, c.self().String(), id)
		c.sendResults(now)
	}
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{Started: &link.Progress{ID: id}})
	}
}

// ExtraWait asks the planner for the extra wait of the silent request with the given id: how much longer its backend
// server may send nothing. It returns 0 if the server seems to be gone, or if the planner does not answer in time.
func (c *Client) ExtraWait(ctx context.Context, id string) time.Duration {
	c.mu.Lock()
	placed := c.placed[id]
	p := c.linkToPlanner()
	if placed == nil || placed.plannerBypassed || p == nil {
		defer c.mu.Unlock()
		return c.localPlanner.ExtraWait(steady.Now(), c.self().String(), id)
	}
	wait := make(chan time.Duration, 1)
	c.extraWaits[id] = wait
	p.link.Send(&link.Message{ExtraWaitQuery: &link.ExtraWait{ID: id}})
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.extraWaits, id)
	}()
	timer := time.NewTimer(plannerTimeout)
	defer timer.Stop()
	select {
	case extraWait := <-wait:
		return extraWait
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0
}

// Ended notifies the planner how the request with the given id ended and stops tracking the request. The pause is the
// one that the backend server has asked for.
func (c *Client) Ended(id string, outcome planner.Outcome, pause planner.Pause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if placed := c.placed[id]; placed != nil {
		if outcome == planner.OutcomeUnreachable {
			c.reportPaths(steady.Now()) // the planner judges the outcome by the paths that this host has lost
		}
		c.recordOutcome(steady.Now(), placed, outcome)
		delete(c.placed, id)
	}
	c.reportEnded(link.Progress{ID: id, Outcome: outcome, Pause: pause.Length, Common: pause.Common})
}

// Leaving marks r as leaving on this host and, through the planner, on all others.
func (c *Client) Leaving(r replica.Replica) {
	if !c.Cache.MarkLeaving(r.ID, r.Born) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{Leaving: &link.Leaving{Replica: r.ID, Born: r.Born}})
	}
}

// Misdirected reports to the planner, that of this host and the one that this host follows, that another server has responded at the
// address of a replica.
func (c *Client) Misdirected(at replica.Location) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	c.localPlanner.Misdirected(now, c.self().String(), at)
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{Misdirected: &at})
	}
	c.sendResults(now)
}

// HasLeft reports whether this incarnation of r takes no new requests, as far as this host knows.
func (c *Client) HasLeft(r replica.Replica) bool { return c.Cache.HasLeft(r) }

// IsEvacuated reports whether a replica of the plan is in an evacuated failure domain. A host that was frozen waits until it
// knows.
func (c *Client) IsEvacuated(plan *planner.Plan) bool {
	c.Cache.AwaitEvacuations()
	if c.Cache.IsEvacuated(plan.Replica) {
		return true
	}
	return slices.ContainsFunc(plan.Helpers, func(h planner.Helper) bool { return c.Cache.IsEvacuatedID(h.Replica) })
}

// EvacuatedReplicas returns the IDs of the replicas of a service that are in evacuated failure domains.
func (c *Client) EvacuatedReplicas(service string) []string {
	evacuated := c.Cache.Evacuated()
	if len(evacuated.Domains) == 0 {
		return nil
	}
	var ids []string
	for _, r := range c.Cache.Replicas() {
		if r.Service == service && evacuated.Has(r.FailureDomain) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// reportEnded notifies the local planner, which ignores ids that it does not know, and the planner on another host, if
// that one plans for this host.
func (c *Client) reportEnded(ended link.Progress) {
	now := steady.Now()
	c.endLocal(now, c.self().String(), ended)
	c.sendResults(now)
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{Ended: &ended})
	}
}

// endLocal notifies the local planner how a request of host ended.
func (c *Client) endLocal(now time.Time, host string, ended link.Progress) {
	if ended.Pause > 0 {
		c.localPlanner.Pause(now, host, ended.ID, planner.Pause{Length: ended.Pause, Common: ended.Common})
	}
	c.localPlanner.Ended(now, host, ended.ID, ended.Outcome)
}
