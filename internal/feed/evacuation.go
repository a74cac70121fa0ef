package feed

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/evacuation"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

// evacuationAgePart is the part of EvacuationTime at which a host whose peers don't send the set of evacuated failure
// domains reads it itself. The rest of the time is for the read and its repetition.
const evacuationAgePart = 2

const (
	// A host that hasn't looked at the time for freezeTime was frozen.
	freezeTime = time.Second
	// How long a host that was frozen waits at most for a newer set before it sends anything. Another host answers, or the
	// store is read, in a fraction of it; a host that is cut off goes on with what it knows.
	thawTime = time.Second
	// The interval at which that is checked.
	thawPollInterval = 10 * time.Millisecond
)

// Evacuated returns the set of evacuated failure domains; it is not known while IsKnown of it is false.
func (c *Cache) Evacuated() evacuation.Set {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuated
}

// IsEvacuated reports whether a replica is in an evacuated failure domain.
func (c *Cache) IsEvacuated(r replica.Replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuated.Has(r.FailureDomain)
}

// IsEvacuatedID reports whether the replica with the given ID is in an evacuated failure domain. While there is one, that is
// assumed of a replica that isn't known.
func (c *Cache) IsEvacuatedID(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.evacuated.Domains) == 0 {
		return false
	}
	r, ok := c.replicaList.Get(id)
	return !ok || c.evacuated.Has(r.FailureDomain)
}

// UnknownEvacuated returns the evacuated failure domains that have neither a region nor a replica, which is why their
// evacuation has no effect. It returns nil until replicas are known.
func (c *Cache) UnknownEvacuated() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unknownEvacuated()
}

func (c *Cache) unknownEvacuated() []string {
	if c.replicaDigest == 0 {
		return nil
	}
	var unknown []string
	for _, domain := range c.evacuated.Domains {
		_, hasRegion := c.Regions[domain]
		hasReplica := slices.ContainsFunc(c.replicas, func(r replica.Replica) bool { return r.FailureDomain == domain })
		if !hasRegion && !hasReplica {
			unknown = append(unknown, domain)
		}
	}
	return unknown
}

// AwaitEvacuations waits, if this host was frozen for so long that its set is older than EvacuationTime, until it has a newer
// one or has gone on for thawTime. What it was about to send may have been forbidden meanwhile.
func (c *Cache) AwaitEvacuations() {
	for end := c.now().Add(thawTime); c.thaws() && c.now().Before(end); {
		time.Sleep(thawPollInterval)
	}
}

// thaws reports whether this host was frozen and has not heard since which failure domains are evacuated.
func (c *Cache) thaws() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.EvacuationTime == 0 || !c.evacuated.IsKnown() || c.lookedAt.IsZero() {
		return false
	}
	now := c.now()
	frozen := now.Sub(c.lookedAt) >= freezeTime || now.Sub(c.thawedAt) < thawTime
	return frozen && now.Sub(c.evacuated.ReadAt) > c.EvacuationTime
}

// watchFreezes looks at the time at intervals until ctx ends.
func (c *Cache) watchFreezes(ctx context.Context) {
	for ; ctx.Err() == nil; wait.For(ctx, agePollInterval) {
		c.look()
	}
}

// look records that the host is running, and when it has gone on after it was frozen.
func (c *Cache) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.lookedAt.IsZero() && now.Sub(c.lookedAt) >= freezeTime {
		c.thawedAt = now
	}
	c.lookedAt = now
}

// stateAge returns the age of the configuration and, if this host reads them, of the evacuations.
func (c *Cache) stateAge() time.Duration {
	if c.EvacuationTime == 0 {
		return c.configAge()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := max(c.EvacuationTime/evacuationAgePart, configInterval)
	return c.evacuated.Age(c.now(), c.verifiedAt, limit)
}

// takeEvacuations takes over a set of evacuated failure domains that was read from the store or comes from a peer.
func (c *Cache) takeEvacuations(set evacuation.Set, source string) {
	if c.EvacuationTime == 0 || !set.IsKnown() {
		return
	}
	before := c.evacuated
	c.evacuated = before.Merge(set, c.rewrittenAt)
	began, ended := c.evacuated.Without(before), before.Without(c.evacuated)
	at := c.evacuated.Revision
	for _, domain := range began {
		c.Log.Event("evacuation_started", slog.String("failure_domain", domain), slog.Int64("revision", at.Number),
			slog.Int64("era", at.Era), slog.String("source", source))
	}
	for _, domain := range ended {
		c.Log.Event("evacuation_ended", slog.String("failure_domain", domain), slog.Int64("revision", at.Number),
			slog.Int64("era", at.Era), slog.String("source", source))
	}
	if len(began)+len(ended) > 0 {
		c.Metrics.Gauge("evacuated_failure_domains").Update(float64(len(c.evacuated.Domains)))
		c.logUnknownEvacuated()
		c.notifyChanged()
	}
}

// logUnknownEvacuated logs the evacuated failure domains that have become unknown.
func (c *Cache) logUnknownEvacuated() {
	unknown := c.unknownEvacuated()
	for _, domain := range unknown {
		if !slices.Contains(c.loggedUnknown, domain) {
			c.Log.Warn("evacuation_unknown_domain", slog.String("failure_domain", domain))
		}
	}
	c.loggedUnknown = unknown
}

// exportEvacuations adds the set of evacuated failure domains to a state whose times are relative to base.
func (c *Cache) exportEvacuations(s *State, base time.Time) {
	if !c.evacuated.IsKnown() {
		return
	}
	s.Evacuated = c.evacuated.Domains
	s.EvacuationRevision = c.evacuated.Revision.Number
	s.EvacuationEra = c.evacuated.Revision.Era
	s.EvacuationRead = c.evacuated.ReadAt.Sub(base)
}

// importEvacuations takes over the set of evacuated failure domains in a state, whose times are relative to base. Hosts of
// earlier versions send none.
func (c *Cache) importEvacuations(base time.Time, s State) {
	at := revision.New(s.EvacuationEra, s.EvacuationRevision)
	c.takeEvacuations(evacuation.New(s.Evacuated, at, base.Add(s.EvacuationRead)), sourcePeer)
}
