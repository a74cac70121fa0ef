package budget

import (
	"sync"
	"time"
)

const (
	// Fractions of the limits that are granted. The rest is a reserve, so that hosts whose count of the hosts lags
	// still stay within the limits together.
	slackFraction = 0.4
	ratioFraction = 0.9
)

// Budget grants retries for each service. Over all hosts and in any period of Window, a service gets at most Ratio
// retries for each of its requests, and Slack retries in addition.
type Budget struct {
	Ratio  float64 // retries for each request
	Slack  float64 // retries in each Window in addition to those for requests, of all hosts together
	Window time.Duration
	// Hosts returns the number of hosts that share Slack.
	Hosts func() int

	mu       sync.Mutex
	services map[string]*bucket // by name
}

// bucket holds the retries that this host may still send to a service, in two token buckets: slack fills with time,
// ratio with requests. Each is limited to hostLimit.
type bucket struct {
	slack float64
	ratio float64
	last  time.Time // when slack was refilled last
}

// SetLimits changes the limits.
func (b *Budget) SetLimits(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// RecordRequest records that a request to service arrived; its retries aren't recorded here.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.refilled(now, service)
	tokens.ratio = min(tokens.ratio+b.Ratio*ratioFraction, b.hostLimit())
}

// TryTake takes one retry from the budget of service and reports whether there was one.
func (b *Budget) TryTake(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.refilled(now, service)
	switch {
	case tokens.ratio >= 1:
		tokens.ratio--
	case tokens.slack >= 1:
		tokens.slack--
	default:
		return false
	}
	return true
}

// hostLimit returns this host's share of Slack after slackFraction, but at least one retry.
func (b *Budget) hostLimit() float64 { return max(b.Slack*slackFraction/float64(max(b.Hosts(), 1)), 1) }

// refilled returns the bucket of service with its slack refilled up to now. A new bucket starts with one retry.
func (b *Budget) refilled(now time.Time, service string) *bucket {
	if b.services == nil {
		b.services = make(map[string]*bucket)
	}
	tokens := b.services[service]
	if tokens == nil {
		tokens = &bucket{slack: min(b.hostLimit(), 1), last: now}
		b.services[service] = tokens
	}
	elapsed := now.Sub(tokens.last)
	tokens.last = now
	tokens.slack = min(tokens.slack+b.hostLimit()*float64(elapsed)/float64(b.Window), b.hostLimit())
	return tokens
}
