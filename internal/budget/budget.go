package budget

import (
	"sync"
	"time"
)

const (
	// Shares of the bounds that are used, so that hosts that count each other late stay within them together.
	slackShare = 0.4
	ratioShare = 0.9
)

// Budget grants repeats for each service. In any window a service gets at most Ratio for each of its requests and Slack
// over all hosts.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Hosts returns how many hosts share the slack.
	Hosts func() int

	mu       sync.Mutex
	services map[string]*account
}

// account fills with time up to the host's part of the slack, and with requests.
type account struct {
	slack float64
	ratio float64
	last  time.Time
}

// Set changes the bounds.
func (b *Budget) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// Request notes a first sending of a request to service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	a.ratio = min(a.ratio+b.Ratio*ratioShare, b.part())
}

// Take grants one repeat at service, or not.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	switch {
	case a.ratio >= 1:
		a.ratio--
	case a.slack >= 1:
		a.slack--
	default:
		return false
	}
	return true
}

func (b *Budget) part() float64 { return max(b.Slack*slackShare/float64(max(b.Hosts(), 1)), 1) }

func (b *Budget) account(now time.Time, service string) *account {
	if b.services == nil {
		b.services = make(map[string]*account)
	}
	a := b.services[service]
	if a == nil {
		a = &account{slack: min(b.part(), 1), last: now}
		b.services[service] = a
	}
	passed := now.Sub(a.last)
	a.last = now
	a.slack = min(a.slack+b.part()*float64(passed)/float64(b.Window), b.part())
	return a
}
