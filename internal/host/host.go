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

// The kinds of errors of this package.
const (
	KindListen Kind = "listen"
	KindKeys   Kind = "keys"
)

// Error is a failure to start a host.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Host runs all roles of one entry host.
type Host struct {
	Settings *settings.Settings
	Version  string
	Log      *slog.Logger

	self       protocol.Host
	metrics    *metrics.Root
	transport  *peer.Transport
	platform   *platform.Client
	engines    *engine.Client
	keeper     *spread.Keeper
	inventory  *inventory.List
	members    *heartbeat.Exchange
	news       *news
	fleet      *fleet.Table
	router     atomic.Pointer[routing.Router]
	schedulers *scheduler.Set
	suspects   *suspect.Ledger
	quota      *quota.Limiter
	reclaim    *reclaim.Worker
	dispatcher *dispatch.Dispatcher
	orders     *order.Runner
	services   *service.Pool
	entry      *entry.Server
	duties     *duties
	spreading  *spreading
	losses     losses
	views      *views
	controller *controller.Controller

	callers   *http.Server
	operators *http.Server
	started   atomic.Bool

	configurationKnown atomic.Bool
	stopping           atomic.Bool
}

// Run serves until ctx ends and all requests have their answers, or returns an *Error.
func (h *Host) Run(ctx context.Context) error {
	if err := h.build(); err != nil {
		return err
	}
	defer h.metrics.Close()
	callers, operators, err := h.listen()
	if err != nil {
		return err
	}
	// The inner context outlives ctx, so that all roles work until the last stream has ended.
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	h.add(inner, &group, "peers", h.transport.Run)
	h.add(inner, &group, "members", func(c context.Context) error { return h.members.Run(c, h.Settings.Peers.Seeds) })
	h.add(inner, &group, "duties", h.duties.run)
	h.add(inner, &group, "configuration", h.startConfiguration)
	h.add(inner, &group, "spread", h.spreading.run)
	h.add(inner, &group, "releases", h.reclaim.Run)
	h.add(inner, &group, "refreshes", h.refresh)
	h.add(inner, &group, "views", h.views.run)
	h.add(inner, &group, "callers", serve(h.callers, callers))
	h.add(inner, &group, "operators", serve(h.operators, operators))
	h.add(ctx, &group, "stop", h.stop)
	h.started.Store(true)
	h.Log.Info("host started", "host", h.self.Name, "incarnation", h.self.Incarnation,
		"callers", h.Settings.Callers.Listen, "peers", h.transport.Listen, "operators", h.Settings.Operators.Listen)
	err = group.Run()
	h.schedulers.Close()
	h.transport.Close()
	h.Log.Info("host stopped", "host", h.self.Name)
	return err
}

func (h *Host) add(ctx context.Context, group *run.Group, name string, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		err := task(ctx)
		if err != nil {
			h.Log.Error("role ended", "role", name, "error", err)
		}
		return err
	}, func(error) { cancel() })
}

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
		Listen: h.Settings.Peers.Listen, Server: keys.Server(peer.NextProto), Client: keys.Client(peer.NextProto), Handler: h,
	}
	return h.transport.Open()
}

func loadKeys(files settings.TLS) (*certificate.Source, error) {
	keys := &certificate.Source{CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: files.CAFile}
	if err := keys.Load(); err != nil {
		return nil, &Error{Op: "load keys", Kind: KindKeys, Err: err}
	}
	return keys, nil
}

func (h *Host) buildPlatform() {
	s := h.Settings
	h.platform = &platform.Client{
		Endpoint: s.Platform.Address, WritesPerSecond: s.Platform.WritesPerSecond, ReadsPerSecond: s.Platform.ReadsPerSecond,
		Host: s.Host.Name, FailureDomain: s.Host.FailureDomain, Seed: rand.Uint64(), Metrics: h.metrics.Scope, Log: h.Log,
	}
	h.keeper = &spread.Keeper{
		Store: h.platform, Now: time.Now, Metrics: h.metrics.Scope, Log: h.Log, OnChange: h.configured,
	}
	h.inventory = &inventory.List{Platform: h.platform, Changed: h.listed}
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
		MaxBodyBytes: s.Callers.MaxBodyBytes, MaxBodiesBytes: s.Callers.MaxBodiesBytes,
		Metrics: h.metrics.Scope, Log: h.Log,
	}
	h.callers = newHTTPServer(h.entry.Handler())
	operators := make([]admin.Operator, len(s.Operators.Tokens))
	for i, t := range s.Operators.Tokens {
		operators[i] = admin.Operator{Name: t.Name, SHA256: t.SHA256, Sections: t.Sections}
	}
	h.operators = newHTTPServer((&admin.Server{
		Configuration: h.keeper, Host: h, Metrics: h.metrics.Handler, Operators: operators, ClientCerts: s.Operators.TLS.CAFile != "",
	}).Handler())
	if err := secure(h.callers, s.Callers.TLS); err != nil {
		return err
	}
	return secure(h.operators, s.Operators.TLS)
}

const headerTimeout = 10 * time.Second

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
}

func secure(server *http.Server, files settings.TLS) error {
	if files.CertFile == "" {
		return nil
	}
	keys, err := loadKeys(files)
	if err != nil {
		return err
	}
	server.TLSConfig = keys.Server("h2", "http/1.1")
	return nil
}

func serve(server *http.Server, listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		var err error
		if server.TLSConfig != nil {
			err = server.ServeTLS(listener, "", "")
		} else {
			err = server.Serve(listener)
		}
		if errors.Is(err, http.ErrServerClosed) {
			// The stop role decides when the host ends.
			<-ctx.Done()
			return nil
		}
		return &Error{Op: "serve", Kind: KindListen, Err: errors.WithStack(err)}
	}
}
