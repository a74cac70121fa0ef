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
	DefaultMargin      = 2 * time.Second
	DefaultInterval    = time.Second
	DefaultLoadsPerMin = 6
)

type (
	// Store is the part of the platform's store that the lease needs.
	Store interface {
		Get(ctx context.Context, key string) (platformapi.Entry, error)
		Swap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error)
		GrantLease(ctx context.Context, ttl time.Duration) (platformapi.Lease, error)
		RenewLease(ctx context.Context, id string) (platformapi.Lease, error)
		RevokeLease(ctx context.Context, id string) error
	}

	// Engines is the part of the engines' client that the controller needs.
	Engines interface {
		Order(ctx context.Context, server protocol.Server, o engineapi.Order) (engineapi.OrderResult, error)
		State(ctx context.Context, server protocol.Server) (engineapi.State, error)
	}

	// Controller drives the engines of one failure domain while it holds the lease; its fields are set before Run.
	Controller struct {
		Store          Store
		Engines        Engines
		Host           protocol.Host
		Domain         string                    // the failure domain
		Wanted         func() *document.Document // nil result before there is a configuration
		Servers        func() []protocol.Server  // live engines of the failure domain
		FailureDomains func() int                // that share the weight store; nil means one
		Metrics        tally.Scope
		Log            *slog.Logger
		TTL            time.Duration // of the lease; 0 means DefaultTTL
		Margin         time.Duration // for drift of clocks and orders under way; 0 means DefaultMargin
		Interval       time.Duration // between comparisons; 0 means DefaultInterval

		holder    lease.Holder
		known     map[string]*known
		limiter   *rate.Limiter
		converged bool
		since     time.Time // when the engines last began to differ
	}
)

// Run holds or waits for the lease and drives the engines until ctx ends; then it gives the lease back.
//
// It may be called again after it has returned.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	tick := time.NewTicker(c.Interval)
	defer tick.Stop()
	for {
		c.keepLease(ctx)
		if c.holder.MayAct(time.Now()) {
			c.drive(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			c.release(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (c *Controller) init() {
	c.TTL = orDefault(c.TTL, DefaultTTL)
	c.Margin = orDefault(c.Margin, DefaultMargin)
	c.Interval = orDefault(c.Interval, DefaultInterval)
	c.holder = lease.Holder{TTL: c.TTL, Margin: c.Margin}
	c.known = make(map[string]*known)
	c.limiter = rate.NewLimiter(0, 1)
	c.limiter.AllowN(time.Now(), 1) // a new holder must not burst after the old one
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
