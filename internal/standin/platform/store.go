package platform

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const (
	staleRevisions = 3    // that stale reads lag behind
	changesKept    = 4096 // for watches that ask for changes since an index
)

// version is a value that a key had from its revision on.
type version struct {
	value    []byte
	revision uint64
	lease    string
	deleted  bool
}

type change struct {
	key      string
	revision uint64
}

type lease struct {
	ttl  time.Duration
	end  time.Time
	keys map[string]bool
}

// store is the state of the key-value service; its callers hold a lock.
type store struct {
	revision uint64
	keys     map[string][]version // ascending revisions, as many as stale reads need
	changes  []change
	dropped  uint64 // revision of the last change that is no longer in changes
	leases   map[string]*lease
	granted  uint64
	deleted  []change // keys whose last version is a deletion
}

func newStore() *store {
	return &store{keys: make(map[string][]version), leases: make(map[string]*lease)}
}

// last returns the version of key as of now, which may be a deletion.
func (s *store) last(key string) version {
	versions := s.keys[key]
	if len(versions) == 0 {
		return version{deleted: true}
	}
	return versions[len(versions)-1]
}

// at returns the version of key as of revision.
func (s *store) at(key string, revision uint64) version {
	versions := s.keys[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].revision <= revision {
			return versions[i]
		}
	}
	return version{deleted: true}
}

// put makes v the last version of key under a new revision.
func (s *store) put(key string, v version) uint64 {
	old := s.last(key)
	if l := s.leases[old.lease]; l != nil {
		delete(l.keys, key)
	}
	if l := s.leases[v.lease]; l != nil {
		l.keys[key] = true
	}
	s.revision++
	v.revision = s.revision
	versions := append(s.keys[key], v)
	s.keys[key] = versions[max(0, len(versions)-staleRevisions-1):]
	s.record(change{key: key, revision: s.revision})
	if v.deleted {
		s.deleted = append(s.deleted, change{key: key, revision: s.revision})
	}
	s.forget()
	return s.revision
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	if len(s.changes) >= 2*changesKept {
		s.dropped = s.changes[changesKept-1].revision
		s.changes = append([]change(nil), s.changes[changesKept:]...)
	}
}

// forget drops deleted keys that no stale read can see.
func (s *store) forget() {
	for len(s.deleted) > 0 && s.deleted[0].revision+staleRevisions < s.revision {
		first := s.deleted[0]
		s.deleted = s.deleted[1:]
		if s.last(first.key).revision == first.revision {
			delete(s.keys, first.key)
		}
	}
}

// list returns the entries under prefix as of revision.
func (s *store) list(prefix string, revision uint64) []platformapi.Entry {
	entries := []platformapi.Entry{}
	for key := range s.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if v := s.at(key, revision); !v.deleted {
			entries = append(entries, entry(key, v))
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

func entry(key string, v version) platformapi.Entry {
	return platformapi.Entry{Key: key, Value: v.value, Revision: v.revision, Lease: v.lease}
}

// changed reports whether a key under prefix may have changed after index.
func (s *store) changed(prefix string, index uint64) bool {
	if index < s.dropped {
		return true
	}
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].revision > index; i-- {
		if strings.HasPrefix(s.changes[i].key, prefix) {
			return true
		}
	}
	return false
}

func (s *store) grant(now time.Time, ttl time.Duration) string {
	s.granted++
	id := strconv.FormatUint(s.granted, 10)
	s.leases[id] = &lease{ttl: ttl, end: now.Add(ttl), keys: make(map[string]bool)}
	return id
}

// revoke deletes a lease and its keys.
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

// lapse revokes the leases that ended by now and returns the time of the next end, or zero.
func (s *store) lapse(now time.Time) time.Time {
	var next time.Time
	var lapsed []string
	for id, l := range s.leases {
		if !now.Before(l.end) {
			lapsed = append(lapsed, id)
		} else if next.IsZero() || l.end.Before(next) {
			next = l.end
		}
	}
	sort.Strings(lapsed)
	for _, id := range lapsed {
		s.revoke(id)
	}
	return next
}
