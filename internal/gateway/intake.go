package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/turmericshunt/turmericshunt/internal/account"
	"github.com/turmericshunt/turmericshunt/internal/intake"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
)

const (
	// accountShare is the share of the host's memory that callers may make it hold at most.
	accountShare = 0.5
	// largePayloadShare is the share of the callers' account that payloads over 64 KiB may take together.
	largePayloadShare = 0.75
	// minLargePayloadBytes is room for one request with the longest body, 4 MiB, and the longest response, 8 MiB, which is copied from
	// half of its memory while it grows.
	minLargePayloadBytes = 20 << 20
	// programBytes is resident memory that the Go runtime's limit doesn't cover: the program's code and what the kernel holds
	// unread.
	programBytes = 36 << 20
	// ownBytes is heap and stacks of an idle host with room for the garbage between collections.
	ownBytes = 16 << 20
	// Descriptors of limits.maxFds that are for files, and those that are left for the store, other hosts, tunnels, readiness
	// checks and monitoring: a fixed number and one part in otherParts.
	fileDescriptors  = 200
	otherDescriptors = 128
	otherParts       = 16
	// Limits of the addresses that aren't the callers'. A load balancer and a few monitors use them.
	checkConnections  = 64
	metricConnections = 16
	smallHeaderBytes  = 8 << 10
	smallHeaderFields = 64
	checkBytes        = 2 << 20
	// Limits of the connections of other hosts on which no valid message has come.
	newcomerConnections = 32
	newcomerBytes       = 4 << 20
	smallReadTime       = 2 * time.Second
	smallWriteTime      = 10 * time.Second
	smallIdleTime       = 75 * time.Second
	// reportInterval is the shortest time between two log lines on one limit.
	reportInterval = time.Second
)

// runtimeLimit returns the Go runtime's soft memory limit for a host with the given memory.
func runtimeLimit(memory int64) int64 {
	return max(min(int64(memoryLimitShare*float64(memory)), memory-programBytes), memory/4)
}

// accountBytes returns what the callers of a host with the given memory may make it hold; 0 means no limit.
func accountBytes(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(min(int64(accountShare*float64(memory)), runtimeLimit(memory)-ownBytes), memory/8)
}

// largePayloadBytes returns what payloads over 64 KiB may take together, beside an account of the given bytes; 0 means no limit.
func largePayloadBytes(account int64) int64 {
	if account == 0 {
		return 0
	}
	return max(int64(largePayloadShare*float64(account)), minLargePayloadBytes)
}

// callerDescriptors returns how many connections callers and their requests may take of a host's descriptors; 0 means no limit.
func callerDescriptors(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	free := descriptors - fileDescriptors
	return max(free-free/otherParts-otherDescriptors, 1)
}

// newAccount returns the account of one listener.
func (g *Gateway) newAccount(listener string, bytes int64, connections int) *account.Account {
	r := &limitReporter{gateway: g, listener: listener}
	a := &account.Account{Bytes: bytes, Connections: connections, OnLimit: r.report, Collect: runtime.GC}
	g.accounts = append(g.accounts, namedAccount{listener, a})
	return a
}

// newCallersAccount returns the account of the callers' listener.
func (g *Gateway) newCallersAccount() *account.Account {
	s := g.Settings
	bytes, connections := accountBytes(s.MemoryBytes), callerDescriptors(s.Descriptors)
	if s.CallerBytes > 0 {
		bytes = s.CallerBytes
	}
	if s.CallerConnections > 0 {
		connections = s.CallerConnections
	}
	a := g.newAccount("callers", bytes, connections)
	a.PerAddress = s.CallerConnectionsPerAddress
	return a
}

type namedAccount struct {
	listener string
	account  *account.Account
}

// limitReporter counts and logs the limits that connections of one listener have reached.
type limitReporter struct {
	gateway  *Gateway
	listener string

	mu     sync.Mutex
	last   map[account.Limit]time.Time // last line
	missed map[account.Limit]int       // without a line since then
}

func (r *limitReporter) report(limit account.Limit, address netip.Addr) {
	r.gateway.metrics.Scope.Tagged(map[string]string{"listener": r.listener, "limit": string(limit)}).
		Counter("limits_reached").Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last, r.missed = make(map[account.Limit]time.Time), make(map[account.Limit]int)
	}
	if time.Since(r.last[limit]) < reportInterval {
		r.missed[limit]++
		return
	}
	r.gateway.Log.Warn("limit_reached", slog.String("listener", r.listener), slog.String("limit", string(limit)),
		slog.String("address", address.String()), slog.Int("more", r.missed[limit]))
	r.last[limit] = time.Now()
	r.missed[limit] = 0
}

// addBoundedServer adds to group a server that serves h on l for readiness checks or monitoring, within an account of its own.
func (g *Gateway) addBoundedServer(group *run.Group, l net.Listener, h http.Handler, name string, connections int) {
	bounded := &intake.Listener{
		Listener: l, Account: g.newAccount(name, checkBytes, connections),
		Limits: func() intake.Limits {
			return intake.Limits{HeaderBytes: smallHeaderBytes, Fields: smallHeaderFields}
		},
	}
	server := &http.Server{
		Handler: intake.Handler(h), ReadHeaderTimeout: time.Second, ReadTimeout: smallReadTime, WriteTimeout: smallWriteTime,
		IdleTimeout: smallIdleTime, MaxHeaderBytes: smallHeaderBytes, ConnState: bounded.ConnState, ConnContext: intake.ConnContext,
	}
	group.Add(func() error { return server.Serve(bounded) }, func(error) { _ = server.Close() })
}

// controlBounded sets the options of a listening socket for readiness checks or monitoring.
func controlBounded(network, address string, c syscall.RawConn) error {
	if err := netconn.SetUserTimeout(network, address, c); err != nil {
		return err
	}
	return intake.Control(network, address, c)
}

// holdings returns the accounts for the host's status.
func (g *Gateway) holdings() []hoststatus.Holding {
	var list []hoststatus.Holding
	for _, a := range g.accounts {
		bytes, connections := a.account.Used()
		list = append(list, hoststatus.Holding{
			Listener: a.listener, Bytes: bytes, BytesLimit: a.account.Bytes,
			Connections: connections, ConnectionsLimit: a.account.Connections,
		})
	}
	return list
}
