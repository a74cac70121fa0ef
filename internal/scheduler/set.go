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

// Engines asks engines for their state.
type Engines interface {
	Load(ctx context.Context, server protocol.Server) (engineapi.Load, error)
	Allocations(ctx context.Context, server protocol.Server) (engineapi.Allocations, error)
	CacheEvents(ctx context.Context, server protocol.Server, after uint64, wait time.Duration) (engineapi.CacheEvents, error)
}

// Releaser frees engine memory until the engine confirms.
type Releaser interface {
	Free(server, allocation string)
}

// Peers tells the other hosts of the failure domain at once what this host suspects.
type Peers interface {
	TellSuspicions()
}

// Set runs one scheduler for each owned backend server; it is safe for concurrent use.
type Set struct {
	Host       protocol.Host
	Engines    Engines
	Suspects   *suspect.Ledger
	Peers      Peers
	Comparison *release.Comparison
	Releaser   Releaser
	Living     func() []protocol.Host
	Metrics    tally.Scope
	Log        *slog.Logger

	mu       sync.Mutex
	document *document.Document
	owned    []*runner // ascending by backend server
}

// Own starts and stops schedulers so that the given backend servers are the owned ones.
func (s *Set) Own(servers []protocol.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned = slices.DeleteFunc(s.owned, func(r *runner) bool {
		if slices.Contains(servers, r.server) {
			return false
		}
		r.stop()
		return true
	})
	for _, server := range servers {
		if i, found := s.search(server.Name); !found {
			s.owned = slices.Insert(s.owned, i, s.start(server))
		}
	}
	s.Metrics.Gauge("schedulers").Update(float64(len(s.owned)))
}

// SetDocument takes the shares and weights of a new configuration into account.
func (s *Set) SetDocument(d *document.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = d
	for _, r := range s.owned {
		r.configure(d)
	}
}

// Ask waits for the decision on a request for a grant; exactly one of the results is set.
func (s *Set) Ask(ctx context.Context, ask protocol.Ask) (*protocol.Grant, *protocol.Refusal) {
	r := s.find(ask.Server)
	if r == nil {
		return nil, &protocol.Refusal{ID: ask.ID, Kind: protocol.RefusalNotOwner}
	}
	return r.ask(ctx, ask)
}

// Finish gives a grant back.
func (s *Set) Finish(fin protocol.Finish) {
	if r := s.find(fin.Server); r != nil {
		r.finish(fin)
	}
}

// Refresh takes the grants that an entry host still uses.
func (s *Set) Refresh(refresh protocol.Refresh) {
	if r := s.find(refresh.Server); r != nil {
		r.update(func(now time.Time) []grant.Decision { return r.decide.Refresh(now, refresh) })
	}
}

// Domain tells the schedulers the rows of all backend servers of the failure domain.
func (s *Set) Domain(rows []protocol.Row) {
	for _, r := range s.list() {
		r.update(func(now time.Time) []grant.Decision { return r.decide.Domain(now, rows) })
	}
}

// Rows summarizes the owned backend servers.
func (s *Set) Rows() []protocol.Row {
	owned := s.list()
	rows := make([]protocol.Row, len(owned))
	for i, r := range owned {
		rows[i] = r.row(s.Host.Name)
	}
	return rows
}

// Close stops all schedulers.
func (s *Set) Close() { s.Own(nil) }

func (s *Set) list() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.owned)
}

func (s *Set) find(server string) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.search(server)
	if !found {
		return nil
	}
	return s.owned[i]
}

func (s *Set) search(server string) (int, bool) {
	return slices.BinarySearchFunc(s.owned, server, func(r *runner, name string) int {
		return strings.Compare(r.server.Name, name)
	})
}

func (s *Set) start(server protocol.Server) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		set:     s,
		server:  server,
		cancel:  cancel,
		decide:  &grant.Scheduler{Server: server},
		waiting: make(map[protocol.AttemptID]chan grant.Decision),
		wake:    make(chan struct{}, 1),
	}
	if s.document != nil {
		r.configure(s.document)
	}
	r.tasks.Go(func() { r.tick(ctx) })
	r.tasks.Go(func() { r.pollLoad(ctx) })
	r.tasks.Go(func() { r.pollMemory(ctx) })
	r.tasks.Go(func() { r.followCache(ctx) })
	return r
}
