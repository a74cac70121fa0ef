package placement

import (
	"log/slog"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// For how long a plan for a cold replica may be sent. It is short, since plans that are held up for that time by a link arrive
// together with later ones.
const coldPlanTime = 200 * time.Millisecond

// coldServices returns the services whose replicas are cold after their start.
func coldServices(config *catalog.Configuration) map[string]ratelimit.ColdService {
	if config == nil {
		return nil
	}
	services := make(map[string]ratelimit.ColdService)
	for _, s := range config.Services() {
		if s.HasColdReplicas() {
			services[s.Name] = ratelimit.ColdService{Start: s.ColdStart, PerSecond: s.ColdRate}
		}
	}
	return services
}

// EntriesRead takes over what the entries of replicas say of how long these stay cold; see feed.Cache.OnRead.
func (c *Client) EntriesRead(readAt time.Time, era int64, read []replica.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	cold := &c.localPlanner.Limits().Cold
	var changed []replica.Replica
	for _, r := range read {
		if cold.Read(now, readAt, r, revision.New(era, r.Written)) {
			changed = append(changed, r)
		}
	}
	c.coldChanged(now, changed)
}

// NamedCold records for how long the server of a response stays cold, as the response says, and reports it to the planner; see
// ratelimit.ColdTable.Responded.
func (c *Client) NamedCold(r replica.Replica, sentAt time.Time, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	if c.localPlanner.Limits().Cold.Responded(now, r, sentAt, remaining) {
		c.coldChanged(now, []replica.Replica{r})
	}
}

// expectCold takes the given replicas for cold until their entries or responses say otherwise, as after the end of an evacuation.
func (c *Client) expectCold(now time.Time, replicas []replica.Replica) {
	c.coldChanged(now, c.localPlanner.Limits().Cold.Expect(now, replicas))
}

// ColdRemaining returns for how long a replica stays cold, 0 if it isn't.
func (c *Client) ColdRemaining(r replica.Replica) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.localPlanner.Limits().Cold.Remaining(steady.Now(), r)
}

// isCold reports whether r is known to be cold.
func (c *Client) isCold(r replica.Replica) bool { return c.ColdRemaining(r) > 0 }

// coldChanged logs that this host has learnt something of the given replicas, and reports it to the planner and the hosts that
// follow this one at once.
func (c *Client) coldChanged(now time.Time, changed []replica.Replica) {
	if len(changed) == 0 {
		return
	}
	for _, r := range changed {
		c.recordCold(r.ID, c.localPlanner.Limits().Cold.Remaining(now, r))
	}
	c.updateColdGauge(now)
	if p := c.linkToPlanner(); p != nil {
		c.sendHeartbeat(now, p, false)
	}
	for p := range c.inbound {
		c.sendHeartbeat(now, p, true)
	}
	c.sendResults(now)
}

// recordCold logs what this host has learnt of a replica.
func (c *Client) recordCold(id string, remaining time.Duration) {
	c.Log.Event("replica_cold_changed", slog.String("replica", id), slog.Bool("cold", remaining > 0),
		eventlog.Milliseconds("cold_ms", remaining))
}

// recordAssumedCold logs that a number of replicas are assumed to have just started.
func (c *Client) recordAssumedCold(count int) {
	if count > 0 {
		c.Log.Event("replicas_assumed_cold", slog.Int("replicas", count))
	}
}

func (c *Client) updateColdGauge(now time.Time) {
	c.Metrics.Gauge("cold_replicas").Update(float64(c.localPlanner.Limits().Cold.Count(now, c.Cache.Replicas())))
}

// updateColdShare sets the share that the local planner may spend of the rates of cold replicas: that of the hosts that it plans
// for and that no other planner counts any more. A host that plans for nobody spends what one host alone may. One that may not
// know all hosts yet takes them for many, so that its share isn't too large.
func (c *Client) updateColdShare(now time.Time) {
	hosts := max(c.followers.hosts.count, c.Roster.Known())
	if !c.followers.knowsHosts(now, c.startedAt) {
		hosts = max(hosts, assumedHosts)
	}
	share := 0.0
	if c.plannerAddress == c.self() {
		ownSettled := c.followed.sinceOther(now) >= followTime
		share = c.followers.settledShare(now, hosts, ownSettled)
	}
	c.localPlanner.Limits().Cold.SetShare(share, hosts, now.Add(limitShareTime))
	c.updateColdGauge(now)
}

// addCold adds to a heartbeat what this host knows of cold replicas, unless the peer knows the same, and what the peer needs to
// know to count this host as a follower.
func (c *Client) addCold(now time.Time, p *peerLink, heartbeat *link.Heartbeat) {
	cold := &c.localPlanner.Limits().Cold
	heartbeat.ColdDigest = cold.Digest(now)
	if heartbeat.Follows {
		heartbeat.SinceOther = c.followed.sinceOther(now)
	}
	if p.lastStamp != 0 && heartbeat.ColdDigest != p.coldDigest {
		heartbeat.Cold = cold.Statements(now)
		heartbeat.SinceEcho = now.Sub(p.lastStampAt)
	}
}

// takeCold takes over what a heartbeat says of cold replicas.
func (c *Client) takeCold(now time.Time, p *peerLink, heartbeat *link.Heartbeat) {
	p.coldDigest = heartbeat.ColdDigest
	if c.followed.confirmed(p.host, time.Unix(0, heartbeat.Echo)) {
		if planner := c.linkToPlanner(); planner != nil {
			c.sendHeartbeat(now, planner, false)
		}
	}
	sentAfter := time.Unix(0, heartbeat.Echo).Add(heartbeat.SinceEcho)
	taken := c.localPlanner.Limits().Cold.Merge(now, sentAfter, heartbeat.Cold)
	for _, s := range taken {
		c.recordCold(s.Replica, s.Remaining)
	}
	if len(taken) > 0 {
		c.updateColdGauge(now)
	}
}
