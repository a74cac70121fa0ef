package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/lease"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Defaults of the fields of a Controller.
const (
	DefaultTTL         = 10 * time.Second
	DefaultLeaseMargin = 2 * time.Second
	DefaultInterval    = time.Second
	DefaultLoadsPerMin = 6
)

type (
	// Store is the part of the client of the platform's store that the lease needs.
	Store interface {
		Get(ctx context.Context, key string) (platformapi.Entry, error)
		CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error)
		GrantLease(ctx context.Context, ttl time.Duration) (platformapi.Lease, error)
		RenewLease(ctx context.Context, id string) (platformapi.Lease, error)
		RevokeLease(ctx context.Context, id string) error
	}

	// Engines is the part of the engines' client that the controller needs; Command sends a command.
	Engines interface {
		Command(ctx context.Context, server protocol.Server, o engineapi.Command) (engineapi.CommandResult, error)
		State(ctx context.Context, server protocol.Server) (engineapi.State, error)
	}

	// Controller keeps the engines of one failure domain in line with the configuration while it holds the domain's
	// lease. Its fields are set before Run.
	Controller struct {
		Store              Store
		Engines            Engines
		Host               protocol.Host
		FailureDomain      string                    // name of the failure domain
		Configuration      func() *document.Document // active configuration; nil before there is one
		Servers            func() []protocol.Server  // live engines of the failure domain
		FailureDomainCount func() int                // number of failure domains that share the weight store; nil means one
		Metrics            tally.Scope
		Log                *slog.Logger
		TTL                time.Duration // time to live of the lease; 0 means DefaultTTL
		LeaseMargin        time.Duration // allowance for clock drift and for commands in flight; 0 means DefaultLeaseMargin
		Interval           time.Duration // between two comparisons of engines and configuration; 0 means DefaultInterval

		holder     lease.Holder
		cached     map[string]*cachedState // by engine
		limiter    *rate.Limiter           // of loads from the weight store
		converged  bool                    // the engines matched the configuration at the last comparison
		divergedAt time.Time               // when the engines last began to differ from the configuration
	}
)

// Run acquires the lease as soon as no other host holds it, renews it and keeps the engines in line with the
// configuration until ctx ends; then it releases the lease. It always returns nil.
//
// It may be called again after it has returned.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	for {
		c.maintainLease(ctx)
		if c.holder.MayAct(time.Now()) {
			c.reconcile(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.releaseLease(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (c *Controller) init() {
	c.TTL = orDefault(c.TTL, DefaultTTL)
	c.LeaseMargin = orDefault(c.LeaseMargin, DefaultLeaseMargin)
	c.Interval = orDefault(c.Interval, DefaultInterval)
	c.holder = lease.Holder{TTL: c.TTL, Margin: c.LeaseMargin}
	c.cached = make(map[string]*cachedState)
	c.limiter = rate.NewLimiter(0, 1)
	c.limiter.AllowN(time.Now(), 1) // takes the first token, so that a new holder sends no load right after the old one's
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
