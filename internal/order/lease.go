package order

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	claimPeriods = 24 // parts of the retention; claims of one part share a lease
)

// leases keeps the platform's lease under which new claims are written.
//
// A lease is never renewed: its lapse deletes the claims that were written under it, after their retention. So
// that no claim is deleted earlier, a lease takes new claims for a part of the retention only and lives longer.
type leases struct {
	store     Store
	retention time.Duration
	now       func() time.Time
	turn      chan struct{} // held by the task that fetches a new lease
	held      atomic.Pointer[heldLease]
}

type heldLease struct {
	id  string
	end time.Time // of its use for new claims
}

// current returns a lease that lives for the retention at least, or an error of the store.
func (l *leases) current(ctx context.Context) (string, error) {
	if id, ok := l.usable(); ok {
		return id, nil
	}
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if id, ok := l.usable(); ok {
		return id, nil
	}
	period := l.retention / claimPeriods
	start := l.now()
	lease, err := l.store.GrantLease(ctx, l.retention+period)
	if err != nil {
		return "", err
	}
	l.held.Store(&heldLease{id: lease.ID, end: start.Add(period)})
	return lease.ID, nil
}

func (l *leases) usable() (string, bool) {
	held := l.held.Load()
	if held == nil || !l.now().Before(held.end) {
		return "", false
	}
	return held.id, true
}

// drop forgets a lease that the platform says has lapsed.
func (l *leases) drop(id string) {
	if held := l.held.Load(); held != nil && held.id == id {
		l.held.CompareAndSwap(held, nil)
	}
}
