package order

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// leasesPerRetention is the number of leases that a host acquires in succession during one retention period. Claims
	// that are created in the same part of the period share a lease.
	leasesPerRetention = 24
)

// claimLeases caches the platform lease under which claims are written.
//
// A lease is never renewed. When it expires, the platform deletes the claims that were written under it, which is how
// claims end after their retention period. Each lease takes new claims for retention/leasesPerRetention only, and its
// TTL is longer than the retention period by as much, so that no claim is deleted before its retention period ends.
type claimLeases struct {
	store     Store
	retention time.Duration
	now       func() time.Time
	fetching  chan struct{} // semaphore of size 1, taken by the task that acquires a new lease
	cached    atomic.Pointer[cachedLease]
}

type cachedLease struct {
	id       string
	useUntil time.Time // no claims are written under the lease from this time on
}

// current returns the ID of a lease that remains valid for at least the retention period. It acquires a new lease if
// none is cached or the cached one takes no more claims, and returns an error if the store or ctx fails.
func (l *claimLeases) current(ctx context.Context) (string, error) {
	if id, ok := l.usableID(); ok {
		return id, nil
	}
	select {
	case l.fetching <- struct{}{}:
		defer func() { <-l.fetching }()
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if id, ok := l.usableID(); ok {
		return id, nil
	}
	period := l.retention / leasesPerRetention
	start := l.now()
	lease, err := l.store.GrantLease(ctx, l.retention+period)
	if err != nil {
		return "", err
	}
	l.cached.Store(&cachedLease{id: lease.ID, useUntil: start.Add(period)})
	return lease.ID, nil
}

// usableID returns the ID of the cached lease, or false if there is none or if it takes no more claims.
func (l *claimLeases) usableID() (string, bool) {
	lease := l.cached.Load()
	if lease == nil || !l.now().Before(lease.useUntil) {
		return "", false
	}
	return lease.id, true
}

// drop removes lease id from the cache, if it is there, after the platform reported that it has expired.
func (l *claimLeases) drop(id string) {
	if lease := l.cached.Load(); lease != nil && lease.id == id {
		l.cached.CompareAndSwap(lease, nil)
	}
}
