package scheduler

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/release"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// EngineClient fetches the state of engines.
type EngineClient interface {
	Load(ctx context.Context, server protocol.Server) (engineapi.Load, error)
	Allocations(ctx context.Context, server protocol.Server) (engineapi.Allocations, error)
	CacheEvents(
		ctx context.Context, server protocol.Server, after uint64, wait time.Duration,
	) (engineapi.CacheEvents, error)
}

// Releaser frees memory of engines. It repeats each release until the engine confirms it.
type Releaser interface {
	Release(server, allocation string)
}

// Peers sends the suspicions of this host to other hosts at once, without waiting for the next probes.
type Peers interface {
	ReportSuspicions()
}

// Set runs one scheduler for each owned backend server; it is safe for concurrent use.
type Set struct {
	Host       protocol.Host
	Engines    EngineClient
	Suspects   *suspect.Tracker
	Peers      Peers
	Comparison *release.OrphanDetector
	Releaser   Releaser
	AliveHosts func() []protocol.Host // the hosts that are alive
	Metrics    tally.Scope
	Log        *slog.Logger

	mu       sync.Mutex
	document *document.Document
	runners  []*runner // ascending by backend server
}

// SetServers starts and stops schedulers so that there is one for each of the given backend servers. A scheduler that
// stops refuses its waiting grant requests.
func (s *Set) SetServers(servers []protocol.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners = slices.DeleteFunc(s.runners, func(r *runner) bool {
		if slices.Contains(servers, r.server) {
			return false
		}
		r.stop()
		return true
	})
	for _, server := range servers {
		if i, found := s.search(server.Name); !found {
			s.runners = slices.Insert(s.runners, i, s.start(server))
		}
	}
	s.Metrics.Gauge("schedulers").Update(float64(len(s.runners)))
}

// SetConfiguration applies the workspaces, scheduling settings and engine settings of a new configuration to all
// schedulers, also to those that are started later.
func (s *Set) SetConfiguration(d *document.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = d
	for _, r := range s.runners {
		r.configure(d)
	}
}

// RequestGrant waits for the decision on a grant request; exactly one of the results is set. It refuses a request for
// a backend server that this host does not own.
func (s *Set) RequestGrant(ctx context.Context, req protocol.GrantRequest) (*protocol.Grant, *protocol.Refusal) {
	r := s.find(req.Server)
	if r == nil {
		return nil, &protocol.Refusal{ID: req.ID, Kind: protocol.RefusalNotOwner}
	}
	return r.requestGrant(ctx, req)
}

// ReturnGrant gives a grant back. It does nothing if this host does not own the backend server.
func (s *Set) ReturnGrant(fin protocol.GrantRelease) {
	if r := s.find(fin.Server); r != nil {
		r.finish(fin)
	}
}

// Refresh passes the grants that an entry host still uses to the scheduler of their backend server. It does nothing if
// this host does not own the backend server.
func (s *Set) Refresh(refresh protocol.Refresh) {
	if r := s.find(refresh.Server); r != nil {
		r.update(func(now time.Time) []grant.Decision { return r.scheduler.Refresh(now, refresh) })
	}
}

// UpdateRows passes the rows of all backend servers of the failure domain to the schedulers.
func (s *Set) UpdateRows(rows []protocol.Row) {
	for _, r := range s.list() {
		r.update(func(now time.Time) []grant.Decision { return r.scheduler.UpdateSubset(now, rows) })
	}
}

// Rows returns one row for each owned backend server, ascending by name.
func (s *Set) Rows() []protocol.Row {
	runners := s.list()
	rows := make([]protocol.Row, len(runners))
	for i, r := range runners {
		rows[i] = r.row(s.Host.Name)
	}
	return rows
}

// Close stops all schedulers.
func (s *Set) Close() { s.SetServers(nil) }

// list returns a copy of the list of runners.
func (s *Set) list() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runners)
}

// find returns the runner of the named backend server, or nil if this host does not own it.
func (s *Set) find(server string) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.search(server)
	if !found {
		return nil
	}
	return s.runners[i]
}

// search returns the index of the named backend server in s.runners, or where it would be inserted, and whether it is
// there. The caller holds s.mu.
func (s *Set) search(server string) (int, bool) {
	return slices.BinarySearchFunc(s.runners, server, func(r *runner, name string) int {
		return strings.Compare(r.server.Name, name)
	})
}

// start starts the scheduler of a backend server with the current configuration, if there is one.
func (s *Set) start(server protocol.Server) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		set:       s,
		server:    server,
		cancel:    cancel,
		scheduler: &grant.Scheduler{Server: server},
		waiting:   make(map[protocol.AttemptID]chan grant.Decision),
		wake:      make(chan struct{}, 1),
	}
	if s.document != nil {
		r.configure(s.document)
	}
	r.tasks.Go(func() { r.runTicks(ctx) })
	r.tasks.Go(func() { r.pollLoad(ctx) })
	r.tasks.Go(func() { r.pollMemory(ctx) })
	r.tasks.Go(func() { r.followCacheEvents(ctx) })
	return r
}
