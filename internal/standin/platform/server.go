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

// Server is an in-memory stand-in for the platform. Its exported fields must be set before use.
type Server struct {
	WritesPerSecond float64          // write rate above which calls get status 429; 0 means no limit
	ReadsPerSecond  float64          // rate of reads and watches above which calls get status 429; 0 means no limit
	Now             func() time.Time // clock for leases and rate limits; nil means time.Now
	Log             *slog.Logger     // nil disables logging

	once    sync.Once
	handler http.Handler

	mu           sync.Mutex
	store        *store
	hosts        platformapi.Hosts
	faults       platformapi.Faults
	calls        platformapi.Calls
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	wake         chan struct{} // closed and replaced at each change, which wakes the waiting watches
}

// Handler returns the handler of the platform's API and of the calls that control the stand-in.
func (s *Server) Handler() http.Handler {
	s.init()
	return s.handler
}

// SetHosts replaces the list of hosts, increases its index and wakes the waiting watches.
func (s *Server) SetHosts(hosts []platformapi.Host) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = platformapi.Hosts{Index: s.hosts.Index + 1, Hosts: slices.Clone(hosts)}
	s.notifyWatchesLocked()
	s.Log.Info("hosts changed", "hosts", len(hosts))
}

// SetFaults replaces the active faults and wakes the waiting watches.
func (s *Server) SetFaults(f platformapi.Faults) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchesLocked()
	s.Log.Info("faults changed", "faults", f)
}

// Calls returns a copy of the call counters.
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
		s.readLimiter = newLimiter(s.ReadsPerSecond)
		s.writeLimiter = newLimiter(s.WritesPerSecond)
		s.handler = s.routes()
	})
}

// newLimiter returns a limiter whose burst is one second's calls, but at least 1. It returns one without a limit
// if perSecond is not positive.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/v1/kv/*", s.getKey, s.applyFaults)
	e.PUT("/v1/kv/*", s.putKey, s.applyFaults)
	e.DELETE("/v1/kv/*", s.deleteKey, s.applyFaults)
	e.PUT("/v1/leases", s.grantLease, s.applyFaults)
	e.POST("/v1/leases/:id", s.renewLease, s.applyFaults)
	e.DELETE("/v1/leases/:id", s.revokeLease, s.applyFaults)
	e.GET("/v1/hosts", s.getHosts, s.applyFaults)
	e.PUT("/v1/hosts", s.putHosts)
	e.POST("/v1/faults", s.postFaults)
	e.GET("/v1/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Calls()) })
	return e
}

// notifyWatchesLocked wakes the waiting watches, which then check for changes; the caller holds s.mu.
func (s *Server) notifyWatchesLocked() {
	close(s.wake)
	s.wake = make(chan struct{})
}
