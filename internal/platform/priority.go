package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Priority says which calls go first when the platform's rates are used up.
type Priority uint8

// The priorities, the most urgent one first.
const (
	PriorityClaim Priority = iota
	PriorityConfig
	PriorityRest
)

// Shares of the burst that calls of a priority leave to the more urgent ones.
const (
	reserveFromConfig = 0.25
	reserveFromRest   = 0.5
)

type priorityKey struct{}

// WithPriority returns a context whose calls have priority p; calls without one have PriorityRest.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityRest
}

// bucket admits calls at a rate; a priority below PriorityClaim may not take its last tokens.
type bucket struct {
	limiter *rate.Limiter
}

func newBucket(perSecond float64) *bucket {
	burst := max(int(perSecond), 4)
	return &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// take takes a token and returns 0, or returns the time until a token is there for p.
func (b *bucket) take(now time.Time, p Priority) time.Duration {
	need := b.reserve(p) + 1
	have := b.limiter.TokensAt(now)
	if have >= need {
		b.limiter.AllowN(now, 1)
		return 0
	}
	seconds := (need - have) / float64(b.limiter.Limit())
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond
}

func (b *bucket) reserve(p Priority) float64 {
	burst := float64(b.limiter.Burst())
	switch p {
	case PriorityClaim:
		return 0
	case PriorityConfig:
		return burst * reserveFromConfig
	default:
		return burst * reserveFromRest
	}
}
