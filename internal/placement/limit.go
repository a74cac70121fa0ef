package placement

import (
	"log/slog"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// For how long a plan for a replica that limits the rate of its requests may be sent.
	limitedPlanTime = 500 * time.Millisecond
	// For how long the share of the limits holds that tick has computed last.
	limitShareTime = time.Second
	// A planner for a smaller share of the hosts doesn't know most placements.
	minViewShare = 0.5
)

// NamedLimit records what a response has said of its server's limit, and reports it to the planner; see
// ratelimit.Table.Named.
func (c *Client) NamedLimit(r replica.Replica, sentAt time.Time, limited bool, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	table := c.localPlanner.Limits()
	if !table.Named(now, r, sentAt, limited, perSecond) {
		return
	}
	c.recordLimits([]ratelimit.Statement{{Replica: r.ID, Limited: limited, PerSecond: perSecond}})
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{Limits: table.Statements(now)})
	}
	c.sendResults(now)
}

// MaySend reports whether a plan may still be sent. If its server limits the rate of its requests, as far as this host or
// the planner knows, the plan must be one that the limit allows, and recent.
func (c *Client) MaySend(result planner.Result) bool {
	if !result.Plan.RateLimited && !c.isLimited(result.Plan.Replica) {
		return true
	}
	if !result.Plan.Cold && c.isCold(result.Plan.Replica) {
		return false
	}
	return result.Plan.RateLimited && steady.Now().Before(result.SendBefore)
}

// planTime returns for how long a result may be used after it was decided, if its replica limits the rate of its requests.
func planTime(result *planner.Result) time.Duration {
	if result.Plan != nil && result.Plan.Cold {
		return coldPlanTime
	}
	return limitedPlanTime
}

// isLimited reports whether r is known to limit the rate of its requests, or to be cold.
func (c *Client) isLimited(r replica.Replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.localPlanner.Limits().Limited(r) || c.localPlanner.Limits().Cold.Remaining(steady.Now(), r) > 0
}

// updateFollowers passes to the local planner which hosts it plans for.
func (c *Client) updateFollowers(now time.Time) {
	var hosts []string
	if c.plannerAddress == c.self() {
		hosts = append(c.followers.names(now), c.self().String())
	}
	c.localPlanner.SetFollowers(now, hosts)
}

// updateLimitShare sets the share of the limits that the local planner may spend, that of the hosts that it plans for, and
// whether it knows the placements of a part of the hosts only.
func (c *Client) updateLimitShare(now time.Time) {
	c.followers.recordHosts(now, max(c.Roster.Size(), c.hostCount.count))
	share := 0.0
	if c.plannerAddress == c.self() && c.followers.knowsHosts(now, c.startedAt) {
		share = c.followers.share(now, c.followers.hosts.count)
	}
	c.localPlanner.Limits().SetShare(now, share, now.Add(limitShareTime))
	c.localPlanner.SetPartialView(share < minViewShare)
	c.updateColdShare(now)
}

// addLimits adds to a heartbeat what this host knows of the limits of replicas, unless the peer knows the same.
func (c *Client) addLimits(now time.Time, p *peerLink, heartbeat *link.Heartbeat) {
	table := c.localPlanner.Limits()
	heartbeat.LimitDigest = table.Digest()
	if p.lastStamp != 0 && heartbeat.LimitDigest != p.limitDigest {
		heartbeat.Limits = table.Statements(now)
	}
}

// takeLimits takes over what a heartbeat says of limits, and whether its sender follows this host.
func (c *Client) takeLimits(now time.Time, p *peerLink, heartbeat *link.Heartbeat) {
	p.limitDigest = heartbeat.LimitDigest
	c.mergeLimits(now, heartbeat.Limits)
	if c.inbound[p] && heartbeat.Echo != 0 {
		c.followers.record(p.host, time.Unix(0, heartbeat.Echo), heartbeat.Follows)
		c.followers.settle(now, p.host, heartbeat.SinceOther)
	}
}

// mergeLimits takes over what another host knows of the limits of replicas.
func (c *Client) mergeLimits(now time.Time, statements []ratelimit.Statement) {
	if taken := c.localPlanner.Limits().Merge(now, statements); len(taken) > 0 {
		c.recordLimits(taken)
	}
}

// recordLimits logs what this host has learnt of the limits of replicas.
func (c *Client) recordLimits(learnt []ratelimit.Statement) {
	for _, s := range learnt {
		c.Log.Event("replica_limit_changed", slog.String("replica", s.Replica), slog.Bool("limited", s.Limited),
			slog.Float64("per_second", s.PerSecond))
	}
	c.Metrics.Gauge("limited_replicas").Update(float64(c.localPlanner.Limits().Count()))
}

// newLinkResult returns a result of the local planner as it is sent to the host at the other end of p.
func newLinkResult(now time.Time, p *peerLink, result planner.Result) *link.Result {
	sent := &link.Result{Result: result, Stamp: p.lastStamp}
	if p.lastStamp != 0 {
		sent.SinceStamp = now.Sub(p.lastStampAt)
	}
	return sent
}

// deliverFromPlanner delivers a result of another host's planner. A plan for a limited replica holds from when the planner
// sent it; if that isn't known, it doesn't hold at all.
func (c *Client) deliverFromPlanner(sent *link.Result) {
	result := sent.Result
	if sent.Stamp != 0 {
		result.SendBefore = time.Unix(0, sent.Stamp).Add(sent.SinceStamp + planTime(&result))
	}
	c.deliver(result)
}
