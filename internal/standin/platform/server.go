package platform

import (
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Server is a stand-in of the platform that keeps everything in memory; its fields are set before use.
type Server struct {
	WritesPerSecond float64          // calls above it answer 429; 0 means no limit
	ReadsPerSecond  float64          // calls above it answer 429; 0 means no limit
	Now             func() time.Time // nil means time.Now
	Log             *slog.Logger     // nil logs nothing

	once    sync.Once
	handler http.Handler

	mu     sync.Mutex
	store  *store
	hosts  platformapi.Hosts
	faults platformapi.Faults
	calls  platformapi.Calls
	reads  *rate.Limiter
	writes *rate.Limiter
	wake   chan struct{} // closed and replaced at each change
}

// Handler returns the handler of the platform's interface.
func (s *Server) Handler() http.Handler {
	s.init()
	return s.handler
}

// SetHosts replaces the list of hosts.
func (s *Server) SetHosts(hosts []platformapi.Host) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = platformapi.Hosts{Index: s.hosts.Index + 1, Hosts: slices.Clone(hosts)}
	s.changedLocked()
	s.Log.Info("hosts changed", "hosts", len(hosts))
}

// SetFaults replaces the faults in effect.
func (s *Server) SetFaults(f platformapi.Faults) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.changedLocked()
	s.Log.Info("faults changed", "faults", f)
}

// Calls returns the counts of calls so far.
func (s *Server) Calls() platformapi.Calls {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls
	c.ByHost = make(map[string]uint64, len(s.calls.ByHost))
	for host, n := range s.calls.ByHost {
		c.ByHost[host] = n
	}
	return c
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.Now == nil {
			s.Now = time.Now
		}
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		s.store = newStore()
		s.wake = make(chan struct{})
		s.calls.ByHost = make(map[string]uint64)
		s.hosts.Hosts = []platformapi.Host{}
		s.reads = limiter(s.ReadsPerSecond)
		s.writes = limiter(s.WritesPerSecond)
		s.handler = s.routes()
	})
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/v1/kv/*", s.getKey, s.faulty)
	e.PUT("/v1/kv/*", s.putKey, s.faulty)
	e.DELETE("/v1/kv/*", s.deleteKey, s.faulty)
	e.PUT("/v1/leases", s.grantLease, s.faulty)
	e.POST("/v1/leases/:id", s.renewLease, s.faulty)
	e.DELETE("/v1/leases/:id", s.revokeLease, s.faulty)
	e.GET("/v1/hosts", s.getHosts, s.faulty)
	e.PUT("/v1/hosts", s.putHosts)
	e.POST("/v1/faults", s.postFaults)
	e.GET("/v1/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Calls()) })
	return e
}

// changedLocked wakes the waiting watches.
func (s *Server) changedLocked() {
	close(s.wake)
	s.wake = make(chan struct{})
}
