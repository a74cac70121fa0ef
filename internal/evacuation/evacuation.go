package evacuation

import (
	"math"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/revision"
)

// Set is the failure domains that are evacuated, as a read of the store has found them. Its zero value is that of a host
// that knows no read.
type Set struct {
	Domains  []string          // sorted, each once
	Revision revision.Revision // of the store at the read
	ReadAt   time.Time         // when the read was started
}

// New returns the set of the given failure domains, read at a revision of the store by a read that was started at readAt.
func New(domains []string, at revision.Revision, readAt time.Time) Set {
	sorted := slices.Sorted(slices.Values(domains))
	return Set{Domains: slices.Compact(sorted), Revision: at, ReadAt: readAt}
}

// IsKnown reports whether the set is that of a read.
func (s Set) IsKnown() bool { return !s.Revision.IsZero() }

// Has reports whether a failure domain is evacuated.
func (s Set) Has(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// Merge returns what holds for a host that has s and gets other: the set of the read at the later revision or, at the same
// revision, that of the later read. If that read was started before rewrittenAt, when a restored store has all again that
// it had lost, it may lack evacuations. It then ends none that the other read has found.
func (s Set) Merge(other Set, rewrittenAt time.Time) Set {
	latest, earlier := s, other
	if order := other.Revision.Compare(s.Revision); order > 0 || order == 0 && other.ReadAt.After(s.ReadAt) {
		latest, earlier = other, s
	}
	if latest.ReadAt.Before(rewrittenAt) {
		return New(append(slices.Clone(latest.Domains), earlier.Domains...), latest.Revision, latest.ReadAt)
	}
	return latest
}

// Without returns the failure domains of s that other doesn't have.
func (s Set) Without(other Set) []string {
	return slices.DeleteFunc(slices.Clone(s.Domains), other.Has)
}

// Age returns the age of what a read of the store gives, by which a host decides whether to read: the configuration, which
// was last verified at verifiedAt, and the set. Hosts that send a configuration which is younger than limit, and with it
// no set, don't read evacuations, so no other host's read saves this one its own: the age is then the greatest there is.
func (s Set) Age(now, verifiedAt time.Time, limit time.Duration) time.Duration {
	age, configAge := now.Sub(s.ReadAt), now.Sub(verifiedAt)
	if age >= limit && configAge < limit {
		return math.MaxInt64
	}
	return max(age, configAge)
}
