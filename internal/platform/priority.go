package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Priority says which calls are preferred when the rate limit for the platform is used up.
type Priority uint8

// The priorities, the highest one first.
const (
	PriorityClaim  Priority = iota // calls for claims
	PriorityConfig                 // calls for the configuration
	PriorityOther                  // all other calls
)

// Fractions of the burst that calls of a priority leave to calls of higher priority.
const (
	reserveFromConfig = 0.25
	reserveFromRest   = 0.5
)

type priorityKey struct{}

// WithPriority returns a context under which calls have priority p. Calls under a context without a priority have
// PriorityOther.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityOther
}

// tokenBucket is a token bucket that limits the rate of calls. Calls below PriorityClaim can't take its last tokens,
// which are reserved for calls of higher priority.
type tokenBucket struct {
	limiter *rate.Limiter
}

// newBucket returns a bucket with a burst of one second's calls, but at least 4.
func newBucket(perSecond float64) *tokenBucket {
	burst := max(int(perSecond), 4)
	return &tokenBucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// take takes a token for a call of priority p and returns 0. If p can't have a token at now, it takes none and returns
// the time after which one will be available unless other calls take it.
func (b *tokenBucket) take(now time.Time, p Priority) time.Duration {
	needed := b.reservedTokens(p) + 1
	available := b.limiter.TokensAt(now)
	if available >= needed {
		b.limiter.AllowN(now, 1)
		return 0
	}
	seconds := (needed - available) / float64(b.limiter.Limit())
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond
}

// reservedTokens returns the number of tokens that calls of priority p must leave in the bucket.
func (b *tokenBucket) reservedTokens(p Priority) float64 {
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
