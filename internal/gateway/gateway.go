package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/budget"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/crossing"
	"github.com/turmericshunt/turmericshunt/internal/dialer"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/ingress"
	"github.com/turmericshunt/turmericshunt/internal/intake"
	"github.com/turmericshunt/turmericshunt/internal/metrics"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/placement"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/roster"
	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/tunnel"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	// sweepInterval is the pause between two searches for backend connections that have been idle for too long.
	sweepInterval = time.Second
	// memoryLimitShare is the Go runtime's soft memory limit as a share of the host's memory.
	memoryLimitShare = 0.75
	// minStopTime is how long a stopping host keeps its listener open at least, so that the load balancer notices that
	// the host is not ready before its connections are refused. It is as long as the stoppingTime of package ingress,
	// after which requests are refused.
	minStopTime = 2500 * time.Millisecond
	// A host ends the requests without a response when one part in answerMarginPart of the grace period is left, and cuts off the
	// responses that are incomplete when one in cutMarginPart is.
	answerMarginPart = 8
	cutMarginPart    = 12
	// stopPollInterval is how often a stopping host checks whether requests are in flight.
	stopPollInterval = 50 * time.Millisecond
	// isolationTime is how long a host that reaches no replica must have heard of no other host until it isn't ready.
	isolationTime = 2 * time.Second
	// lastRequestTime is how long a host that has closed its listener responds to the requests on connections that it had
	// accepted.
	lastRequestTime = 2 * time.Second
)

// Store is the client of the platform's store that the gateway needs.
type Store interface {
	feed.Store
	// Announce records address in the store as that of an entry host, until ttl has passed since the last call.
	Announce(ctx context.Context, address netip.AddrPort, ttl time.Duration) error
	// Hosts returns the addresses of the announced entry hosts.
	Hosts(ctx context.Context) ([]netip.AddrPort, error)
}

// HeaderCodec translates between the headers of the platform, on the callers' and on the backend servers' side, and the
// types of this project.
type HeaderCodec interface {
	ingress.Decoder
	backend.Codec
	relay.ResponseMarker
}

// Gateway is one entry host: it runs the parts of the system that a host has. Its exported fields must be set before
// Run; WatchSettings may be nil.
type Gateway struct {
	Settings            *site.Settings       // settings of the host
	Store               Store                // client of the platform's store
	Memory              relay.MemoryReserver // reserves memory at engines
	Dialer              *dialer.Dialer       // connects to replicas; its other fields than the Connect functions are set by Run
	HeaderCodec         HeaderCodec
	DecodeConfiguration func(data []byte) (*catalog.Configuration, error) // decodes a configuration document
	Log                 *eventlog.Log
	Version             string // version of the program
	// CrossingPrice is the value of a request per GB that crosses between failure domains; at 0 the host doesn't
	// distinguish failure domains.
	CrossingPrice float64
	// WatchSettings calls reload with the new settings each time they have changed, and returns when ctx ends. If it is
	// nil, the host keeps the settings that it started with.
	WatchSettings func(ctx context.Context, reload func(s *site.Settings)) error

	cache     *feed.Cache
	placement *placement.Client
	pool      *backend.Pool
	tunnels   *tunnel.Server
	metrics   *metrics.Root
	accounts  []namedAccount
	budget    *budget.Budget // retry budget
	crossings *crossing.Meter
	relay     *relay.Relay
	ingress   *ingress.Ingress
}

// Reload applies those settings of s that can change while the host runs: it adds the seeds and sets the retry budget
// and the revocation limit. If an address, the evacuation time or a region differs, which takes effect only after a
// restart, it logs that one is needed.
// It must not be called before Run has set up the components.
func (g *Gateway) Reload(s *site.Settings) {
	g.placement.AddSeeds(s.Seeds)
	g.budget.SetLimits(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	g.ingress.SetRevocationTime(s.RevocationTime)
	needsRestart := s.CallerAddress != g.Settings.CallerAddress ||
		s.ReadinessAddress != g.Settings.ReadinessAddress || s.PeerAddress != g.Settings.PeerAddress ||
		s.StoreAddress != g.Settings.StoreAddress || s.EvacuationTime != g.Settings.EvacuationTime ||
		s.Region != g.Settings.Region || !maps.Equal(s.Regions, g.Settings.Regions)
	g.Log.Event("settings_reloaded", slog.Int("seeds", len(s.Seeds)), slog.Bool("needs_restart", needsRestart))
}

// Run serves until ctx ends, then stops the host gracefully and returns nil. It returns an *Error if it can't listen
// on an address, or as soon as a server or background loop fails.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(runtimeLimit(g.Settings.MemoryBytes))
	g.initComponents()
	defer g.metrics.Close()
	g.Log.Event("host_started", slog.String("version", g.Version), slog.String("failure_domain", g.Settings.FailureDomain),
		slog.String("callers", g.Settings.CallerAddress.String()), slog.String("peers", g.Settings.PeerAddress.String()),
		slog.Int("seeds", len(g.Settings.Seeds)))
	loopsCtx, cancelLoops := context.WithCancel(context.Background())
	defer cancelLoops()
	var group run.Group
	if err := g.addServers(&group); err != nil {
		return err
	}
	if err := g.addLoops(loopsCtx, cancelLoops, &group); err != nil {
		return err
	}
	interrupted, interrupt := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			g.stopGracefully()
		case <-interrupted.Done():
		}
		return nil
	}, func(error) { interrupt() })
	err := group.Run()
	g.Log.Event("host_stopped")
	if err != nil {
		return &Error{Op: "run", Kind: KindServe, Err: err}
	}
	return nil
}

// initComponents creates the components of the host and connects them to one another.
func (g *Gateway) initComponents() {
	self := roster.Member{Address: g.Settings.PeerAddress, Weight: g.Settings.CPUCores, Region: g.Settings.Region}
	g.metrics = metrics.New()
	scope := g.metrics.Scope
	g.cache = &feed.Cache{Store: g.Store, Decode: g.DecodeConfiguration, Log: g.Log, Metrics: scope}
	g.cache.EvacuationTime, g.cache.Regions = g.Settings.EvacuationTime, g.Settings.Regions
	g.cache.Init()
	g.placement = &placement.Client{
		Roster:  roster.New(steady.Now(), self, g.Settings.Seeds),
		Cache:   g.cache,
		Log:     g.Log,
		Metrics: scope,
		Paths:   g.Dialer,

		ColdOver: g.Settings.ColdOver, ColdSlack: g.Settings.ColdSlack, Regions: g.Settings.Regions,
		FailureDomain: g.Settings.FailureDomain, CrossingPrice: g.CrossingPrice,
	}
	g.Dialer.Log, g.Dialer.Metrics, g.Dialer.OnChange = g.Log, scope, g.placement.PathsChanged
	g.tunnels = &tunnel.Server{Connect: g.Dialer.DialForOther, Allowed: g.takesRequests, Metrics: scope}
	g.placement.ServeTunnel = g.tunnels.Serve
	g.placement.Newcomers = g.newAccount("peers", newcomerBytes, newcomerConnections)
	g.placement.Init()
	g.cache.MaxAge = g.placement.MaxStateAge
	g.cache.OnChange = g.applyState
	g.cache.OnRead = g.placement.EntriesRead
	g.budget = &budget.Budget{
		Ratio: g.Settings.RetryRatio, Slack: g.Settings.RetrySlack, Window: g.Settings.RetryWindow, Hosts: g.placement.HostCount,
	}
	dialed := scope.Counter("backend_connections")
	g.pool = &backend.Pool{Codec: g.HeaderCodec, Dialer: g.Dialer, OnDial: func() { dialed.Inc(1) }}
	g.crossings = &crossing.Meter{FailureDomain: g.Settings.FailureDomain, Metrics: scope}
	g.Dialer.OnConnect = g.recordConnect
	callers := g.newCallersAccount()
	payloads := &payload.Budget{Limit: largePayloadBytes(callers.Bytes), Responses: callers}
	g.relay = &relay.Relay{
		Pool:          g.pool,
		PlannerClient: g.placement,
		Regions:       g.placement,
		Memory:        g.Memory,
		Budget:        g.budget,
		Payloads:      payloads,
		Crossings:     g.crossings,
		Marker:        g.HeaderCodec,
		Log:           g.Log,
		Metrics:       scope,
	}
	g.ingress = &ingress.Ingress{
		Cache: g.cache, Relay: g.relay, Decoder: g.HeaderCodec, Payloads: payloads, Log: g.Log, Metrics: scope,
		Account: callers, Fields: g.Settings.HeaderFields,
	}
	g.ingress.SetRevocationTime(g.Settings.RevocationTime)
	g.ingress.Init()
}

// recordConnect records the time that a connection to a backend server took.
func (g *Gateway) recordConnect(server netip.AddrPort, took time.Duration) {
	for _, r := range g.cache.Replicas() {
		if r.Address == server {
			g.crossings.RecordConnect(r.FailureDomain, took)
			return
		}
	}
}

// applyState passes the active configuration and replicas on to the components that use them.
func (g *Gateway) applyState() {
	replicas := g.cache.Replicas()
	servers := make([]replica.Location, 0, len(replicas))
	evacuated := make(map[netip.AddrPort]bool)
	for i := range replicas {
		servers = append(servers, replicas[i].Location())
		if g.cache.IsEvacuated(replicas[i]) {
			evacuated[replicas[i].Address] = true
		}
	}
	g.Dialer.SetServers(servers)
	g.relay.SetReplicas(replicas)
	g.placement.ApplyState()
	g.tunnels.Withdraw(evacuated)
}

// takesRequests reports whether the replica at an address, if there is one, takes new requests.
func (g *Gateway) takesRequests(address netip.AddrPort) bool {
	return slices.ContainsFunc(g.cache.Replicas(), func(r replica.Replica) bool {
		return r.Address == address && r.TakesRequests() && !g.cache.IsEvacuated(r)
	})
}

// addServers adds to group the servers for callers, for the load balancer's readiness checks and, if the settings
// have a metrics address, for monitoring. It returns an *Error if the host can't listen on an address.
func (g *Gateway) addServers(group *run.Group) error {
	callers, err := listen(g.Settings.CallerAddress, intake.Control)
	if err != nil {
		return err
	}
	group.Add(func() error { return g.ingress.Run(callers) }, func(error) { _ = callers.Close() })
	ready, err := listen(g.Settings.ReadinessAddress, controlBounded)
	if err != nil {
		return err
	}
	g.addBoundedServer(group, ready, http.HandlerFunc(g.serveReady), "readiness", checkConnections)
	if !g.Settings.MetricsAddress.IsValid() {
		return nil
	}
	monitoring, err := listen(g.Settings.MetricsAddress, controlBounded)
	if err != nil {
		return err
	}
	g.addBoundedServer(group, monitoring, g.monitoringHandler(), "metrics", metricConnections)
	return nil
}

// addLoops adds to group the loops that run in the background: exchange with peers, updates from the store, discovery
// of hosts, closing of idle connections and reloads of the settings. They run until ctx ends; the group calls cancel,
// which must end ctx, to stop them. addLoops returns an *Error if the host can't listen for peers.
func (g *Gateway) addLoops(ctx context.Context, cancel func(), group *run.Group) error {
	peers, err := listen(g.Settings.PeerAddress, netconn.SetUserTimeout)
	if err != nil {
		return err
	}
	loops := []func(ctx context.Context) error{
		func(ctx context.Context) error { return g.placement.Run(ctx, peers) },
		g.cache.Run,
		g.discover,
		g.sweepConnections,
		g.Dialer.Run,
	}
	if g.WatchSettings != nil {
		loops = append(loops, func(ctx context.Context) error { return g.WatchSettings(ctx, g.Reload) })
	}
	for _, loop := range loops {
		group.Add(func() error { return ignoreCanceled(loop(ctx)) }, func(error) { cancel() })
	}
	return nil
}

// ignoreCanceled returns err, or nil if err says that a context was canceled, which is how the loops are stopped.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// listen listens on address with the keep-alive probes of package netconn and the option that control sets; it may be nil.
func listen(address netip.AddrPort, control func(network, address string, c syscall.RawConn) error,
) (net.Listener, error) {
	config := net.ListenConfig{Control: control, KeepAliveConfig: netconn.KeepAlive}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "listen on " + address.String(), Kind: KindListen, Err: err}
	}
	return l, nil
}

// ready reports whether this host should get new connections from callers: it isn't one that reaches neither a replica nor
// another host that might.
func (g *Gateway) ready() bool {
	alone := g.Dialer.ReachesNone() && g.placement.Isolated(isolationTime)
	return g.ingress.Ready() && g.placement.Introduced() && !alone
}

// serveReady responds to a readiness check: 200 if this host accepts new connections from callers, otherwise 503.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweepConnections closes idle backend connections at intervals until ctx ends.
func (g *Gateway) sweepConnections(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, sweepInterval)
		g.pool.CloseIdle()
	}
	return ctx.Err()
}

// stopGracefully reports the stop to the other hosts and the load balancer, waits until the requests in flight are
// completed, and closes the callers' server. It waits for minStopTime at least. Toward the end of the grace period it ends the
// requests without a response, and then cuts off the responses that are incomplete.
func (g *Gateway) stopGracefully() {
	started := steady.Now()
	grace := g.Settings.GracePeriod
	answerBy, cutAt := started.Add(grace-grace/answerMarginPart), started.Add(grace-grace/cutMarginPart)
	g.Log.Event("host_stopping", slog.Int("under_way", g.relay.InFlight()))
	g.relay.BeginStop(answerBy)
	g.placement.AnnounceStop()
	g.ingress.BeginStop()
	g.tunnels.BeginStop()
	for now := started; now.Before(answerBy); now = steady.Now() {
		if now.Sub(started) > minStopTime && g.ingress.Active() == 0 && g.tunnels.Active() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	if !steady.Now().Before(answerBy) {
		g.Log.Event("unanswered_ended", slog.Int("under_way", g.relay.InFlight()))
		g.relay.EndUnanswered()
	}
	ctx, cancel := context.WithTimeout(context.Background(),
		max(min(lastRequestTime, cutAt.Sub(steady.Now())), stopPollInterval))
	defer cancel()
	if err := g.ingress.Stop(ctx); err != nil {
		g.Log.Warn("answers_cut", slog.Int("under_way", g.relay.InFlight()))
	}
}
