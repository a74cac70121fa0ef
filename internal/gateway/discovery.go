package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	// discoveryInterval is the pause between two rounds of discover.
	discoveryInterval = time.Second
	// searchDelay is how long a host must have heard from no other host before it searches the store for hosts.
	searchDelay = 2 * time.Second
	// announceDelay is how long a host must have been planning before it announces itself in the store.
	announceDelay = 2 * time.Second
	// announceTTL is how long an announcement stays in the store unless the host renews it.
	announceTTL = 10 * time.Second
	// announceInterval is the minimum time between two announcements of a host.
	announceInterval = 3 * time.Second
	// storeTimeout limits each announcement and each search in the store.
	storeTimeout = 1500 * time.Millisecond
)

// discover runs until ctx ends. While this host plans, it announces the host in the store; while the host hears from no
// other host, for example because all its seeds are out of date, it searches the store for hosts.
func (g *Gateway) discover(ctx context.Context) error {
	// planningSince is zero while this host does not plan.
	var planningSince, lastAnnounced time.Time
	announcedEra := g.cache.Era()
	for ctx.Err() == nil {
		wait.For(ctx, discoveryInterval)
		now := steady.Now()
		switch {
		case !g.placement.IsPlanner():
			planningSince = time.Time{}
		case planningSince.IsZero():
			planningSince = now
		}
		if era := g.cache.Era(); era != announcedEra {
			// The restored store may have lost the announcement.
			announcedEra = era
			lastAnnounced = time.Time{}
		}
		if !planningSince.IsZero() && now.Sub(planningSince) >= announceDelay && now.Sub(lastAnnounced) >= announceInterval {
			lastAnnounced = now
			g.announce(ctx)
		}
		if g.placement.Isolated(searchDelay) {
			g.searchHosts(ctx)
		}
	}
	return ctx.Err()
}

// announce puts this host's peer address into the store, or renews it there; it logs a failure.
func (g *Gateway) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := g.Store.Announce(ctx, g.Settings.PeerAddress, announceTTL); err != nil {
		g.Log.Warn("announcement_failed", slog.String("error", err.Error()))
	}
}

// searchHosts reads the announced hosts from the store and adds them to the seeds; it logs a failure.
func (g *Gateway) searchHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := g.Store.Hosts(ctx)
	if err != nil {
		g.Log.Warn("host_search_failed", slog.String("error", err.Error()))
		return
	}
	g.placement.AddSeeds(hosts)
	g.Log.Event("hosts_found", slog.Int("hosts", len(hosts)))
}
