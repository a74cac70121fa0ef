package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	discoverInterval = time.Second
	// A host that hears no other for this time looks for them in the store.
	aloneTime = 2 * time.Second
	// A host that has planned for this time announces itself in the store.
	plannerTime   = 2 * time.Second
	announceTTL   = 10 * time.Second
	announceEvery = 3 * time.Second
	storeTimeout  = 1500 * time.Millisecond
)

// discover announces a planner in the store, and looks there for other hosts when the seeds lead to none.
func (g *Gateway) discover(ctx context.Context) error {
	var planned, announced time.Time
	for ctx.Err() == nil {
		wait.For(ctx, discoverInterval)
		now := steady.Now()
		switch {
		case !g.desk.Plans():
			planned = time.Time{}
		case planned.IsZero():
			planned = now
		}
		if !planned.IsZero() && now.Sub(planned) >= plannerTime && now.Sub(announced) >= announceEvery {
			announced = now
			g.announce(ctx)
		}
		if g.desk.Alone(aloneTime) {
			g.findHosts(ctx)
		}
	}
	return ctx.Err()
}

func (g *Gateway) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := g.Store.Announce(ctx, g.Site.Peers, announceTTL); err != nil {
		g.Log.Warn("announcement_failed", slog.String("error", err.Error()))
	}
}

func (g *Gateway) findHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := g.Store.Hosts(ctx)
	if err != nil {
		g.Log.Warn("host_search_failed", slog.String("error", err.Error()))
		return
	}
	g.desk.AddSeeds(hosts)
	g.Log.Event("hosts_found", slog.Int("hosts", len(hosts)))
}
