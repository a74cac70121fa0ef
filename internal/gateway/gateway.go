package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/budget"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/ingress"
	"github.com/turmericshunt/turmericshunt/internal/metrics"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/placement"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/roster"
	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	sweepInterval = time.Second
	// Share of the host's memory that the collector aims to stay under.
	memoryShare = 0.6
	// How long a host that stops stays reachable, so that the balancer notices first.
	noticeTime = 2500 * time.Millisecond
	// Left of the grace time when the last answers are cut.
	stopMargin = 700 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
)

// Store is what the gateway needs of the platform's store.
type Store interface {
	feed.Store
	Announce(ctx context.Context, address netip.AddrPort, ttl time.Duration) error
	Hosts(ctx context.Context) ([]netip.AddrPort, error)
}

// Headers translates the callers' and backend servers' interface.
type Headers interface {
	ingress.Decoder
	backend.Codec
	relay.Marker
}

// Gateway is one entry host; its exported fields must be set before Run.
type Gateway struct {
	Site    *site.Site
	Store   Store
	Memory  relay.Memory
	Headers Headers
	Decode  func(data []byte) (*catalog.Catalog, error)
	Log     *eventlog.Log
	Version string
	// Reloads returns the settings each time that they have changed, until its context ends; it may be nil.
	Reloads func(ctx context.Context, reload func(s *site.Site)) error

	feed    *feed.Feed
	desk    *placement.Desk
	pool    *backend.Pool
	started time.Time
	metrics *metrics.Root
	budget  *budget.Budget
	relay   *relay.Relay
	ingress *ingress.Ingress
}

// Reload takes over the settings that may change while the host runs: seeds and bounds. It must be called after Run has
// begun.
func (g *Gateway) Reload(s *site.Site) {
	g.desk.AddSeeds(s.Seeds)
	g.budget.Set(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	g.ingress.SetRevokeTime(s.RevokeTime)
	restart := s.Callers != g.Site.Callers || s.Readiness != g.Site.Readiness || s.Peers != g.Site.Peers ||
		s.StoreAddress != g.Site.StoreAddress
	g.Log.Event("settings_reloaded", slog.Int("seeds", len(s.Seeds)), slog.Bool("needs_restart", restart))
}

// Run serves until ctx ends and the planned stop is over; its errors are of type *Error.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(g.Site.MemoryBytes)))
	g.wire()
	defer g.metrics.Close()
	g.Log.Event("host_started", slog.String("version", g.Version), slog.String("failure_domain", g.Site.FailureDomain),
		slog.String("callers", g.Site.Callers.String()), slog.String("peers", g.Site.Peers.String()),
		slog.Int("seeds", len(g.Site.Seeds)))
	life, end := context.WithCancel(context.Background())
	defer end()
	var group run.Group
	if err := g.addServers(&group); err != nil {
		return err
	}
	if err := g.addLoops(life, end, &group); err != nil {
		return err
	}
	stopped, stop := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			g.stop()
		case <-stopped.Done():
		}
		return nil
	}, func(error) { stop() })
	err := group.Run()
	g.Log.Event("host_stopped")
	if err != nil {
		return &Error{Op: "run", Kind: KindServe, Err: err}
	}
	return nil
}

// budgetHosts returns how many hosts share the budget of repeats; a host that has just started may not know most of them.
func (g *Gateway) budgetHosts() int {
	const (
		learnTime = 6 * time.Second
		unknown   = 200
	)
	hosts := g.desk.Hosts()
	if steady.Now().Sub(g.started) < learnTime {
		return max(hosts, unknown)
	}
	return hosts
}

func (g *Gateway) wire() {
	g.started = steady.Now()
	self := roster.Member{Address: g.Site.Peers, Weight: g.Site.ProcessorShare}
	g.metrics = metrics.New()
	scope := g.metrics.Scope
	g.feed = &feed.Feed{Store: g.Store, Decode: g.Decode, Log: g.Log, Meters: scope}
	g.feed.Init()
	g.desk = &placement.Desk{
		Roster: roster.New(steady.Now(), self, g.Site.Seeds),
		Feed:   g.feed,
		Log:    g.Log,
		Meters: scope,
	}
	g.desk.Init()
	g.feed.MaxAge = g.desk.MaxAge
	g.feed.Changed = g.desk.Update
	g.budget = &budget.Budget{
		Ratio: g.Site.RetryRatio, Slack: g.Site.RetrySlack, Window: g.Site.RetryWindow, Hosts: g.budgetHosts,
	}
	dialed := scope.Counter("backend_connections")
	g.pool = &backend.Pool{Codec: g.Headers, Dialed: func() { dialed.Inc(1) }}
	g.relay = &relay.Relay{
		Pool:   g.pool,
		Desk:   g.desk,
		Memory: g.Memory,
		Budget: g.budget,
		Marker: g.Headers,
		Log:    g.Log,
		Meters: scope,
	}
	g.ingress = &ingress.Ingress{
		Feed: g.feed, Relay: g.relay, Decoder: g.Headers, Log: g.Log, Meters: scope,
	}
	g.ingress.SetRevokeTime(g.Site.RevokeTime)
	g.ingress.Init()
}

// addServers adds what listens for callers and the balancer.
func (g *Gateway) addServers(group *run.Group) error {
	callers, err := listen(g.Site.Callers)
	if err != nil {
		return err
	}
	group.Add(func() error { return g.ingress.Run(callers) }, func(error) { _ = callers.Close() })
	ready, err := listen(g.Site.Readiness)
	if err != nil {
		return err
	}
	addServer(group, ready, http.HandlerFunc(g.serveReady))
	if !g.Site.Metrics.IsValid() {
		return nil
	}
	monitoring, err := listen(g.Site.Metrics)
	if err != nil {
		return err
	}
	addServer(group, monitoring, g.monitoring())
	return nil
}

func addServer(group *run.Group, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	group.Add(func() error { return server.Serve(l) }, func(error) { _ = server.Close() })
}

// addLoops adds what runs beside the requests.
func (g *Gateway) addLoops(ctx context.Context, end func(), group *run.Group) error {
	peers, err := listen(g.Site.Peers)
	if err != nil {
		return err
	}
	loops := []func(ctx context.Context) error{
		func(ctx context.Context) error { return g.desk.Run(ctx, peers) },
		g.feed.Run,
		g.discover,
		g.sweep,
	}
	if g.Reloads != nil {
		loops = append(loops, func(ctx context.Context) error { return g.Reloads(ctx, g.Reload) })
	}
	for _, loop := range loops {
		group.Add(func() error { return ignoreEnd(loop(ctx)) }, func(error) { end() })
	}
	return nil
}

func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: netconn.Control, KeepAliveConfig: netconn.KeepAlive}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "listen on " + address.String(), Kind: KindListen, Err: err}
	}
	return l, nil
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ingress.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, sweepInterval)
		g.pool.Sweep()
	}
	return ctx.Err()
}

// stop lets the balancer notice, finishes what is under way and returns.
func (g *Gateway) stop() {
	began := steady.Now()
	g.Log.Event("host_stopping", slog.Int("under_way", g.relay.UnderWay()))
	g.desk.Leave()
	g.ingress.Leave()
	limit := began.Add(g.Site.Grace - stopMargin)
	for now := began; now.Before(limit); now = steady.Now() {
		if now.Sub(began) > noticeTime && g.ingress.Active() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopPoll)
	defer cancel()
	if err := g.ingress.Stop(ctx); err != nil {
		g.Log.Warn("answers_cut", slog.Int("under_way", g.relay.UnderWay()))
	}
}
