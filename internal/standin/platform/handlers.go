package platform

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const kvPrefix = "/v1/kv/"

func keyOf(c echo.Context) string { return strings.TrimPrefix(c.Request().URL.Path, kvPrefix) }

func number(c echo.Context, name string) uint64 {
	n, _ := strconv.ParseUint(c.QueryParam(name), 10, 64) // absent means 0
	return n
}

func (s *Server) getKey(c echo.Context) error {
	if c.QueryParam("list") != "" {
		return s.listKeys(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	v := s.store.at(keyOf(c), s.readRevision())
	if v.deleted {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, entry(keyOf(c), v))
}

func (s *Server) listKeys(c echo.Context) error {
	prefix, index := keyOf(c), number(c, "index")
	s.await(c, func() bool { return s.store.changed(prefix, index) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	at := s.readRevision()
	return c.JSON(http.StatusOK, platformapi.Entries{Index: at, Entries: s.store.list(prefix, at)})
}

func (s *Server) getHosts(c echo.Context) error {
	index := number(c, "index")
	s.await(c, func() bool { return s.hosts.Index > index })
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.hosts)
}

// await blocks until changed holds or the call's wait is over.
func (s *Server) await(c echo.Context, changed func() bool) {
	wait := time.Duration(number(c, "wait_ms")) * time.Millisecond
	if wait == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		next := s.lapseLocked()
		done, wake := changed(), s.wake
		s.mu.Unlock()
		if done {
			return
		}
		waitFor(ctx, wake, next.Sub(s.Now()), !next.IsZero())
	}
}

// waitFor waits for wake, for the end of ctx, or for d if bounded.
func waitFor(ctx context.Context, wake <-chan struct{}, d time.Duration, bounded bool) {
	var timer <-chan time.Time
	if bounded {
		t := time.NewTimer(d)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-wake:
	case <-timer:
	case <-ctx.Done():
	}
}

// lapseLocked revokes lapsed leases and returns when the next one ends, or zero.
func (s *Server) lapseLocked() time.Time {
	before := s.store.revision
	next := s.store.lapse(s.Now())
	if s.store.revision != before {
		s.changedLocked()
	}
	return next
}

func (s *Server) readRevision() uint64 {
	if s.faults.StaleReads {
		return s.store.revision - min(staleRevisions, s.store.revision)
	}
	return s.store.revision
}

func (s *Server) putKey(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, platformapi.MaxValueBytes+1))
	if err != nil || len(value) > platformapi.MaxValueBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	id := c.QueryParam("lease")
	if id != "" && s.store.leases[id] == nil {
		return c.NoContent(http.StatusNotFound)
	}
	old := s.store.last(keyOf(c))
	if !matches(old, number(c, "cas")) {
		return c.NoContent(http.StatusConflict)
	}
	return s.written(c, version{value: value, lease: id})
}

func (s *Server) deleteKey(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	old := s.store.last(keyOf(c))
	if old.deleted {
		return c.NoContent(http.StatusNotFound)
	}
	if !matches(old, number(c, "cas")) {
		return c.NoContent(http.StatusConflict)
	}
	return s.written(c, version{deleted: true})
}

// matches reports whether cas is the revision of v; 0 means that there must be no value.
func matches(v version, cas uint64) bool {
	if v.deleted {
		return cas == 0
	}
	return cas == v.revision
}

func (s *Server) written(c echo.Context, v version) error {
	revision := s.store.put(keyOf(c), v)
	s.changedLocked()
	return c.JSON(http.StatusOK, platformapi.Written{Revision: revision})
}

func (s *Server) grantLease(c echo.Context) error {
	ttl := time.Duration(number(c, "ttl_ms")) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if ttl <= 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	id := s.store.grant(s.Now(), ttl)
	s.changedLocked() // watches take the new end into account
	return c.JSON(http.StatusOK, platformapi.Lease{ID: id, TTLMS: ttl.Milliseconds()})
}

func (s *Server) renewLease(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	l := s.store.leases[c.Param("id")]
	if l == nil {
		return c.NoContent(http.StatusNotFound)
	}
	l.end = s.Now().Add(l.ttl)
	return c.JSON(http.StatusOK, platformapi.Lease{ID: c.Param("id"), TTLMS: l.ttl.Milliseconds()})
}

func (s *Server) revokeLease(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	if s.store.leases[c.Param("id")] == nil {
		return c.NoContent(http.StatusNotFound)
	}
	s.store.revoke(c.Param("id"))
	s.changedLocked()
	return c.JSON(http.StatusOK, platformapi.Written{Revision: s.store.revision})
}

func (s *Server) putHosts(c echo.Context) error {
	var h platformapi.Hosts
	if err := c.Bind(&h); err != nil {
		return err
	}
	s.SetHosts(h.Hosts)
	return c.NoContent(http.StatusOK)
}

func (s *Server) postFaults(c echo.Context) error {
	var f platformapi.Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusOK)
}
