package platform

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const (
	staleReadRevisions = 3    // number of revisions that stale reads lag behind
	minChangesKept     = 4096 // minimum number of recent changes kept, for watches that ask for changes since an index
)

// version is the state of a key from a revision on: a value, or none if the key was deleted.
type version struct {
	value    []byte
	revision uint64
	lease    string // id of the lease that the value is bound to; empty for none
	deleted  bool
}

// change records that a key was written or deleted.
type change struct {
	key      string
	revision uint64
}

// lease is a granted lease; the keys bound to it are deleted when it expires or is revoked.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// store is the state of the key-value service. It is not safe for concurrent use; Server guards it with a mutex.
type store struct {
	revision      uint64
	keys          map[string][]version // versions by ascending revision, as many as stale reads need
	changes       []change
	lastDropped   uint64 // revision of the latest change that was removed from changes
	leases        map[string]*lease
	leasesGranted uint64
	deleted       []change // deletions by ascending revision, until dropDeletedKeys removes them
}

func newStore() *store {
	return &store{keys: make(map[string][]version), leases: make(map[string]*lease)}
}

// lastVersion returns the current version of key, which is a deletion if the key does not exist.
func (s *store) lastVersion(key string) version {
	versions := s.keys[key]
	if len(versions) == 0 {
		return version{deleted: true}
	}
	return versions[len(versions)-1]
}

// versionAt returns the version of key as of revision, which is a deletion if the key did not exist then.
func (s *store) versionAt(key string, revision uint64) version {
	versions := s.keys[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].revision <= revision {
			return versions[i]
		}
	}
	return version{deleted: true}
}

// put makes v the current version of key under a new revision, which it returns. It binds the key to the lease of v and
// drops versions that no stale read can see.
func (s *store) put(key string, v version) uint64 {
	old := s.lastVersion(key)
	if l := s.leases[old.lease]; l != nil {
		delete(l.keys, key)
	}
	if l := s.leases[v.lease]; l != nil {
		l.keys[key] = true
	}
	s.revision++
	v.revision = s.revision
	versions := append(s.keys[key], v)
	s.keys[key] = versions[max(0, len(versions)-staleReadRevisions-1):]
	s.recordChange(change{key: key, revision: s.revision})
	if v.deleted {
		s.deleted = append(s.deleted, change{key: key, revision: s.revision})
	}
	s.dropDeletedKeys()
	return s.revision
}

// recordChange adds c to the changes and, once they reach twice minChangesKept, removes the older half.
func (s *store) recordChange(c change) {
	s.changes = append(s.changes, c)
	if len(s.changes) >= 2*minChangesKept {
		s.lastDropped = s.changes[minChangesKept-1].revision
		s.changes = append([]change(nil), s.changes[minChangesKept:]...)
	}
}

// dropDeletedKeys removes the keys whose deletion is so old that no stale read can see an earlier version. A key that
// was written again since stays.
func (s *store) dropDeletedKeys() {
	for len(s.deleted) > 0 && s.deleted[0].revision+staleReadRevisions < s.revision {
		first := s.deleted[0]
		s.deleted = s.deleted[1:]
		if s.lastVersion(first.key).revision == first.revision {
			delete(s.keys, first.key)
		}
	}
}

// list returns the entries under prefix as of revision, sorted by key.
func (s *store) list(prefix string, revision uint64) []platformapi.Entry {
	entries := []platformapi.Entry{}
	for key := range s.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if v := s.versionAt(key, revision); !v.deleted {
			entries = append(entries, entry(key, v))
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

func entry(key string, v version) platformapi.Entry {
	return platformapi.Entry{Key: key, Value: v.value, Revision: v.revision, Lease: v.lease}
}

// changed reports whether a key under prefix may have changed after index. It also returns true if changes after
// index are no longer recorded.
func (s *store) changed(prefix string, index uint64) bool {
	if index < s.lastDropped {
		return true
	}
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].revision > index; i-- {
		if strings.HasPrefix(s.changes[i].key, prefix) {
			return true
		}
	}
	return false
}

// grant creates a lease that expires after ttl and returns its id.
func (s *store) grant(now time.Time, ttl time.Duration) string {
	s.leasesGranted++
	id := strconv.FormatUint(s.leasesGranted, 10)
	s.leases[id] = &lease{ttl: ttl, expiresAt: now.Add(ttl), keys: make(map[string]bool)}
	return id
}

// revoke deletes the lease id, which must exist, and its keys, in sorted order, so that revisions don't depend on
// map order.
func (s *store) revoke(id string) {
	keys := make([]string, 0, len(s.leases[id].keys))
	for key := range s.leases[id].keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	delete(s.leases, id)
	for _, key := range keys {
		s.put(key, version{deleted: true})
	}
}

// expireLeases revokes the leases that have expired by now. It returns when the next lease expires, or the zero time if
// none is left.
func (s *store) expireLeases(now time.Time) time.Time {
	var nextExpiry time.Time
	var expired []string
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			expired = append(expired, id)
		} else if nextExpiry.IsZero() || l.expiresAt.Before(nextExpiry) {
			nextExpiry = l.expiresAt
		}
	}
	sort.Strings(expired)
	for _, id := range expired {
		s.revoke(id)
	}
	return nextExpiry
}
