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

// kvPrefix is the part of a request path that precedes the key.
const kvPrefix = "/v1/kv/"

func keyOf(c echo.Context) string { return strings.TrimPrefix(c.Request().URL.Path, kvPrefix) }

// queryNumber returns the query parameter name as a number, or 0 if it is absent or not a number.
func queryNumber(c echo.Context, name string) uint64 {
	n, _ := strconv.ParseUint(c.QueryParam(name), 10, 64)
	return n
}

func (s *Server) getKey(c echo.Context) error {
	if c.QueryParam("list") != "" {
		return s.listKeys(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	v := s.store.versionAt(keyOf(c), s.readRevision())
	if v.deleted {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, entry(keyOf(c), v))
}

// listKeys responds with the entries under a prefix. It first waits, for up to wait_ms, for a change after index.
func (s *Server) listKeys(c echo.Context) error {
	prefix, index := keyOf(c), queryNumber(c, "index")
	s.awaitChange(c, func() bool { return s.store.changed(prefix, index) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	revision := s.readRevision()
	return c.JSON(http.StatusOK, platformapi.Entries{Index: revision, Entries: s.store.list(prefix, revision)})
}

func (s *Server) getHosts(c echo.Context) error {
	index := queryNumber(c, "index")
	s.awaitChange(c, func() bool { return s.hosts.Index > index })
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.hosts)
}

// awaitChange blocks until changed returns true, the call's wait_ms has passed or the client disconnects. It calls
// changed with s.mu held, and expires leases when they end, as that changes keys. It returns at once if wait_ms is 0 or
// absent.
func (s *Server) awaitChange(c echo.Context, changed func() bool) {
	wait := time.Duration(queryNumber(c, "wait_ms")) * time.Millisecond
	if wait == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		nextExpiry := s.expireLeasesLocked()
		done, wake := changed(), s.wake
		s.mu.Unlock()
		if done {
			return
		}
		waitFor(ctx, wake, nextExpiry.Sub(s.Now()), !nextExpiry.IsZero())
	}
}

// waitFor returns when wake is closed or ctx ends, and after d if bounded is true.
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

// expireLeasesLocked revokes the leases that have expired, wakes the watches if that deleted keys, and returns when the
// next lease expires, or the zero time if there is none.
func (s *Server) expireLeasesLocked() time.Time {
	before := s.store.revision
	nextExpiry := s.store.expireLeases(s.Now())
	if s.store.revision != before {
		s.notifyWatchesLocked()
	}
	return nextExpiry
}

// readRevision returns the revision as of which reads respond: an older one than the current one under StaleReads.
func (s *Server) readRevision() uint64 {
	if s.faults.StaleReads {
		return s.store.revision - min(staleReadRevisions, s.store.revision)
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
	s.expireLeasesLocked()
	id := c.QueryParam("lease")
	if id != "" && s.store.leases[id] == nil {
		return c.NoContent(http.StatusNotFound)
	}
	old := s.store.lastVersion(keyOf(c))
	if !casMatches(old, queryNumber(c, "cas")) {
		return c.NoContent(http.StatusConflict)
	}
	return s.writeVersion(c, version{value: value, lease: id})
}

func (s *Server) deleteKey(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	old := s.store.lastVersion(keyOf(c))
	if old.deleted {
		return c.NoContent(http.StatusNotFound)
	}
	if !casMatches(old, queryNumber(c, "cas")) {
		return c.NoContent(http.StatusConflict)
	}
	return s.writeVersion(c, version{deleted: true})
}

// casMatches reports whether cas, the expected revision of a conditional write, is the revision of v. If v is a
// deletion, only 0 matches, which means that the key must not exist.
func casMatches(v version, cas uint64) bool {
	if v.deleted {
		return cas == 0
	}
	return cas == v.revision
}

// writeVersion stores v under the key of the call, wakes the watches and responds with the new revision.
func (s *Server) writeVersion(c echo.Context, v version) error {
	revision := s.store.put(keyOf(c), v)
	s.notifyWatchesLocked()
	return c.JSON(http.StatusOK, platformapi.Written{Revision: revision})
}

func (s *Server) grantLease(c echo.Context) error {
	ttl := time.Duration(queryNumber(c, "ttl_ms")) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if ttl <= 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	id := s.store.grant(s.Now(), ttl)
	s.notifyWatchesLocked() // waiting watches must account for the new lease's expiry time
	return c.JSON(http.StatusOK, platformapi.Lease{ID: id, TTLMS: ttl.Milliseconds()})
}

func (s *Server) renewLease(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	l := s.store.leases[c.Param("id")]
	if l == nil {
		return c.NoContent(http.StatusNotFound)
	}
	l.expiresAt = s.Now().Add(l.ttl)
	return c.JSON(http.StatusOK, platformapi.Lease{ID: c.Param("id"), TTLMS: l.ttl.Milliseconds()})
}

func (s *Server) revokeLease(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	if s.store.leases[c.Param("id")] == nil {
		return c.NoContent(http.StatusNotFound)
	}
	s.store.revoke(c.Param("id"))
	s.notifyWatchesLocked()
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
