package gateway

import (
	"context"
	"log/slog"
	"net/netip"
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
	// A host that has been planning for less than plannerSearchTime searches the store in each round, and later each time that it
	// announces itself.
	plannerSearchTime = 10 * time.Second
	// storeTimeout limits each announcement and each search in the store.
	storeTimeout = 1500 * time.Millisecond
)

// discovery is what a host that runs discover has announced.
type discovery struct {
	planningSince time.Time // zero while this host doesn't plan
	lastAnnounced time.Time
	announcedEra  int64 // of the store when the host announced itself last
}

// discover runs until ctx ends. While this host plans, it announces the host in the store and searches it for other planners, whose
// hosts nothing else may have made known to it; while the host hears from no other host, for example because all its seeds are out
// of date, it searches the store too.
func (g *Gateway) discover(ctx context.Context) error {
	d := discovery{announcedEra: g.cache.Era()}
	for ctx.Err() == nil {
		wait.For(ctx, discoveryInterval)
		planningTime, announces := d.next(steady.Now(), g.placement.IsPlanner(), g.cache.Era())
		if announces {
			g.announce(ctx)
		}
		searchesPlanners := planningTime >= announceDelay && (announces || planningTime < plannerSearchTime)
		switch {
		case g.placement.Isolated(searchDelay):
			g.searchHosts(ctx, g.placement.AddSeeds)
		case searchesPlanners:
			g.searchHosts(ctx, g.placement.AddFound)
		}
	}
	return ctx.Err()
}

// next returns for how long this host has been planning at now, 0 if it doesn't plan, and whether it announces itself. The era is
// that of the store: one that was restored may have lost the announcement.
func (d *discovery) next(now time.Time, plans bool, era int64) (planningTime time.Duration, announces bool) {
	if era != d.announcedEra {
		d.announcedEra = era
		d.lastAnnounced = time.Time{}
	}
	if !plans {
		d.planningSince = time.Time{}
		return 0, false
	}
	if d.planningSince.IsZero() {
		d.planningSince = now
	}
	planningTime = now.Sub(d.planningSince)
	if planningTime < announceDelay || now.Sub(d.lastAnnounced) < announceInterval {
		return planningTime, false
	}
	d.lastAnnounced = now
	return planningTime, true
}

// announce puts this host's peer address into the store, or renews it there; it logs a failure.
func (g *Gateway) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := g.Store.Announce(ctx, g.Settings.PeerAddress, announceTTL); err != nil {
		g.Log.Warn("announcement_failed", slog.String("error", err.Error()))
	}
}

// searchHosts reads the announced hosts from the store and passes them to add, which returns how many of them are new; it logs a
// failure.
func (g *Gateway) searchHosts(ctx context.Context, add func(hosts []netip.AddrPort) int) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := g.Store.Hosts(ctx)
	if err != nil {
		g.Log.Warn("host_search_failed", slog.String("error", err.Error()))
		return
	}
	if added := add(hosts); added > 0 {
		g.Log.Event("hosts_found", slog.Int("hosts", len(hosts)), slog.Int("new", added))
	}
}
