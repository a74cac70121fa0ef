package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/lease"
	"github.com/turmericshunt/turmericshunt/internal/platform"
)

// holderRecord is the JSON value of the key that names the holder of a failure domain's lease.
type holderRecord struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Lease       string `json:"lease"`
}

// LeaseKey returns the key in the platform's store that names the host that holds a failure domain's lease.
func LeaseKey(domain string) string { return "controller/" + domain }

// maintainLease acquires or renews the lease if that is due.
func (c *Controller) maintainLease(ctx context.Context) {
	action := c.holder.Next(time.Now())
	switch action.Kind {
	case lease.ActionAcquire:
		c.acquire(ctx)
	case lease.ActionRenew:
		c.renew(ctx, action.ID)
	}
}

// renew renews the lease. An error other than an expired lease is only counted, since a later renewal may succeed.
func (c *Controller) renew(ctx context.Context, id string) {
	sent := time.Now()
	_, err := c.Store.RenewLease(ctx, id)
	switch {
	case err == nil:
		c.holder.Renewed(sent)
	case platform.KindOf(err) == platform.KindLeaseExpired:
		c.holder.Expired()
		c.Log.Warn("controller lease lapsed", "failure_domain", c.FailureDomain)
	default:
		c.Metrics.Counter("controller_renewal_errors").Inc(1)
	}
}

// acquire acquires the lease if no host holds it; if it fails, a later call of maintainLease tries again.
func (c *Controller) acquire(ctx context.Context) {
	if _, err := c.Store.Get(ctx, LeaseKey(c.FailureDomain)); platform.KindOf(err) != platform.KindNotFound {
		return // another host holds the lease, or the platform does not respond
	}
	sent := time.Now()
	granted, err := c.Store.GrantLease(ctx, c.TTL)
	if err != nil {
		return // if the lease was granted in spite of the error, it expires without a key
	}
	fencing, err := c.createKey(ctx, granted.ID)
	if err != nil {
		c.Metrics.Counter("controller_acquire_errors").Inc(1)
		_ = c.Store.RevokeLease(ctx, granted.ID) // if this fails, the lease expires
		return
	}
	c.holder.Granted(sent, time.Now(), granted.ID, fencing)
	c.converged, c.divergedAt = false, time.Now()
	c.Log.Info("controller lease acquired", "failure_domain", c.FailureDomain, "fencing", fencing)
}

// createKey creates the key under a lease and returns its revision, the fencing number, or an *Error.
//
// If the response to the write is lost, it reads the key to find out whether this lease holds it.
func (c *Controller) createKey(ctx context.Context, id string) (uint64, error) {
	value, err := json.Marshal(holderRecord{Host: c.Host.Name, Incarnation: c.Host.Incarnation, Lease: id})
	if err != nil {
		return 0, &Error{Op: "take lease", Kind: KindUnavailable, Err: err}
	}
	fencing, err := c.Store.CompareAndSwap(ctx, LeaseKey(c.FailureDomain), value, 0, id)
	if err == nil {
		return fencing, nil
	}
	entry, readErr := c.Store.Get(ctx, LeaseKey(c.FailureDomain))
	if readErr == nil && entry.Lease == id {
		return entry.Revision, nil
	}
	kind := KindUnavailable
	if platform.KindOf(err) == platform.KindConflict {
		kind = KindHeldByOther
	}
	return 0, &Error{Op: "take lease", Kind: kind, Err: err}
}

// releaseLease revokes the lease if it is held; if this fails, the lease expires.
func (c *Controller) releaseLease(ctx context.Context) {
	c.holder.Stop()
	action := c.holder.Next(time.Now())
	if action.Kind != lease.ActionRelease {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.LeaseMargin)
	defer cancel()
	if err := c.Store.RevokeLease(ctx, action.ID); err != nil {
		c.Log.Warn("controller lease could not be revoked, it will expire", "failure_domain", c.FailureDomain, "error", err)
	}
	c.holder.Released()
}
