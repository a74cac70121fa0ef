package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/admin"
	"github.com/turmericshunt/turmericshunt/internal/certificate"
	"github.com/turmericshunt/turmericshunt/internal/controller"
	"github.com/turmericshunt/turmericshunt/internal/dispatch"
	"github.com/turmericshunt/turmericshunt/internal/drain"
	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/entry"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/heartbeat"
	"github.com/turmericshunt/turmericshunt/internal/inventory"
	"github.com/turmericshunt/turmericshunt/internal/metrics"
	"github.com/turmericshunt/turmericshunt/internal/order"
	"github.com/turmericshunt/turmericshunt/internal/peer"
	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/quota"
	"github.com/turmericshunt/turmericshunt/internal/reclaim"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/scheduler"
	"github.com/turmericshunt/turmericshunt/internal/service"
	"github.com/turmericshunt/turmericshunt/internal/settings"
	"github.com/turmericshunt/turmericshunt/internal/spread"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors of this package.
const (
	KindListen Kind = "listen" // an HTTP listener could not be opened or stopped serving
	KindTLS    Kind = "keys"   // a TLS key pair or certificate authority could not be loaded
)

// Error is a failure to start a host or to serve HTTP.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Host runs all roles of one entry host; Settings, Version and Log must be set before Run.
type Host struct {
	Settings *settings.Settings
	Version  string // of the program, shown in Status
	Log      *slog.Logger

	self          protocol.Host
	metrics       *metrics.Root
	transport     *peer.Transport
	platform      *platform.Client
	engines       *engine.Client
	config        *spread.ActiveConfig
	inventory     *inventory.List
	members       *heartbeat.Exchange
	gossip        *gossip
	fleet         *fleet.Store
	router        atomic.Pointer[routing.Router]
	schedulers    *scheduler.Set
	suspects      *suspect.Tracker
	quota         *quota.Limiter
	reclaim       *reclaim.Worker
	dispatcher    *dispatch.Dispatcher
	orders        *order.Runner
	services      *service.Pool
	entry         *entry.Server
	edgeTasks     *edgeTasks
	distributor   *distributor
	losses        hostLosses
	viewPublisher *viewPublisher
	controller    *controller.Controller

	callerServer   *drain.Server
	operatorServer *drain.Server
	started        atomic.Bool

	configurationKnown atomic.Bool // the configuration has been fetched at startup; see startConfiguration
	stopping           atomic.Bool
}

// Run serves requests until ctx ends and the host has stopped gracefully; see stop. It returns the error of the first
// role that ends, which is an *Error if a TLS file could not be loaded or an HTTP listener failed.
func (h *Host) Run(ctx context.Context) error {
	if err := h.build(); err != nil {
		return err
	}
	defer h.metrics.Close()
	callers, operators, err := h.listen()
	if err != nil {
		return err
	}
	// The roles do not stop with ctx, but only when the stop role has let the last stream end.
	roleCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	h.addRole(roleCtx, &group, "peers", h.transport.Run)
	h.addRole(roleCtx, &group, "members", func(c context.Context) error { return h.members.Run(c, h.Settings.Peers.Seeds) })
	h.addRole(roleCtx, &group, "duties", h.edgeTasks.run)
	h.addRole(roleCtx, &group, "configuration", h.startConfiguration)
	h.addRole(roleCtx, &group, "spread", h.distributor.run)
	h.addRole(roleCtx, &group, "releases", h.reclaim.Run)
	h.addRole(roleCtx, &group, "refreshes", h.refresh)
	h.addRole(roleCtx, &group, "views", h.viewPublisher.run)
	h.addRole(roleCtx, &group, "callers", serve(h.callerServer, callers))
	h.addRole(roleCtx, &group, "operators", serve(h.operatorServer, operators))
	h.addRole(ctx, &group, "stop", h.stop)
	h.started.Store(true)
	h.Log.Info("host started", "host", h.self.Name, "incarnation", h.self.Incarnation,
		"callers", h.Settings.Callers.Listen, "peers", h.transport.Listen, "operators", h.Settings.Operators.Listen)
	err = group.Run()
	h.schedulers.Close()
	h.transport.Close()
	h.Log.Info("host stopped", "host", h.self.Name)
	return err
}

// addRole adds a task to group that runs with a context derived from ctx. The group cancels the tasks of all roles when
// the first one returns.
func (h *Host) addRole(ctx context.Context, group *run.Group, name string, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		err := task(ctx)
		if err != nil {
			h.Log.Error("role ended", "role", name, "error", err)
		}
		return err
	}, func(error) { cancel() })
}

// build creates all components without starting them, except that it opens the socket for peers, whose address the
// other components need.
func (h *Host) build() error {
	s := h.Settings
	h.metrics = metrics.New()
	h.self = protocol.Host{
		Name: s.Host.Name, Incarnation: uint64(time.Now().UnixNano()), Address: s.Peers.Listen,
		FailureDomain: s.Host.FailureDomain, Region: s.Host.Region,
	}
	if err := h.openTransport(); err != nil {
		return err
	}
	h.self.Address = h.transport.Listen
	h.buildPlatform()
	h.buildMembers()
	h.buildScheduling()
	h.buildController()
	h.buildServices()
	return h.buildListeners()
}

func (h *Host) openTransport() error {
	keys, err := loadKeys(h.Settings.Peers.TLS)
	if err != nil {
		return err
	}
	if h.Settings.Peers.TLS.CAFile == "" {
		h.Log.Warn("any host on the network may join, since peers.tls.ca_file is not set")
	}
	h.transport = &peer.Transport{
		Listen: h.Settings.Peers.Listen, Server: keys.ServerConfig(peer.NextProto),
		Client: keys.ClientConfig(peer.NextProto), Handler: h,
	}
	return h.transport.Open()
}

func loadKeys(files settings.TLS) (*certificate.KeySource, error) {
	keys := &certificate.KeySource{CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: files.CAFile}
	if err := keys.Load(); err != nil {
		return nil, &Error{Op: "load keys", Kind: KindTLS, Err: err}
	}
	return keys, nil
}

func (h *Host) buildPlatform() {
	s := h.Settings
	h.platform = &platform.Client{
		Endpoint: s.Platform.Address, WritesPerSecond: s.Platform.WritesPerSecond, ReadsPerSecond: s.Platform.ReadsPerSecond,
		Host: s.Host.Name, FailureDomain: s.Host.FailureDomain, Seed: rand.Uint64(), Metrics: h.metrics.Scope, Log: h.Log,
	}
	h.config = &spread.ActiveConfig{
		Store: h.platform, Now: time.Now, Metrics: h.metrics.Scope, Log: h.Log, OnChange: h.applyConfiguration,
	}
	h.inventory = &inventory.List{Platform: h.platform, OnChange: h.applyHostList}
}

func (h *Host) listen() (callers, operators net.Listener, err error) {
	callers, err = net.Listen("tcp", h.Settings.Callers.Listen.String())
	if err != nil {
		return nil, nil, &Error{Op: "listen for callers", Kind: KindListen, Err: errors.WithStack(err)}
	}
	operators, err = net.Listen("tcp", h.Settings.Operators.Listen.String())
	if err != nil {
		return nil, nil, &Error{Op: "listen for operators", Kind: KindListen, Err: errors.WithStack(err)}
	}
	return callers, operators, nil
}

func (h *Host) buildListeners() error {
	s := h.Settings
	h.entry = &entry.Server{
		Host: h.self, Configuration: h, Prompts: h.dispatcher, Services: h,
		MaxBodyBytes: s.Callers.MaxBodyBytes, MaxTotalBodyBytes: s.Callers.MaxTotalBodyBytes,
		Metrics: h.metrics.Scope, Log: h.Log,
	}
	h.callerServer = newHTTPServer(h.entry.Handler())
	operators := make([]admin.Operator, len(s.Operators.Tokens))
	for i, t := range s.Operators.Tokens {
		operators[i] = admin.Operator{Name: t.Name, SHA256: t.SHA256, Sections: t.Sections}
	}
	h.operatorServer = newHTTPServer((&admin.Server{
		Configuration: h.config, Host: h, Metrics: h.metrics.Handler, Operators: operators, ClientCerts: s.Operators.TLS.CAFile != "",
	}).Handler())
	if err := configureTLS(h.callerServer.HTTP, s.Callers.TLS); err != nil {
		return err
	}
	return configureTLS(h.operatorServer.HTTP, s.Operators.TLS)
}

// headerTimeout is how long a client may take to send a request's header.
const headerTimeout = 10 * time.Second

// firstRequestTime is how long a stopping host waits for the first requests on connections that it has accepted.
const firstRequestTime = time.Second

func newHTTPServer(handler http.Handler) *drain.Server {
	return &drain.Server{FirstRequestTime: firstRequestTime, HTTP: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout,
		DisableGeneralOptionsHandler: true, // no request has a response without a route
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}}
}

// configureTLS makes server use TLS with the given files; it does nothing if no certificate file is set.
func configureTLS(server *http.Server, files settings.TLS) error {
	if files.CertFile == "" {
		return nil
	}
	keys, err := loadKeys(files)
	if err != nil {
		return err
	}
	server.TLSConfig = keys.ServerConfig("h2", "http/1.1")
	return nil
}

// serve returns a role that serves HTTP until its context ends. It returns an *Error if the server fails.
func serve(server *drain.Server, listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			// Stop was called. Returning now would end all other roles, which is up to the stop role.
			<-ctx.Done()
			return nil
		}
		return &Error{Op: "serve", Kind: KindListen, Err: errors.WithStack(err)}
	}
}
