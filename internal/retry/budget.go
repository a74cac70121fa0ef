package retry

import "time"

// budget limits retries to a fraction of the requests. Its burst and its refill over time let a host with few requests
// retry too.
type budget struct {
	available   float64 // retries that may start now
	lastRefill  time.Time
	lastRequest time.Time
}

// addRequest adds the fraction of a retry that each new request allows.
func (b *budget) addRequest(now time.Time, p *Policy) {
	b.refill(now, p)
	b.lastRequest = now
	b.available = min(b.available+p.ratio(), p.burst())
}

// refill adds the retries that have become available since the last refill, at Policy.BudgetPerSecond. A new budget is
// full.
func (b *budget) refill(now time.Time, p *Policy) {
	if b.lastRefill.IsZero() {
		b.available = p.burst()
	} else if passed := now.Sub(b.lastRefill); passed > 0 {
		b.available = min(b.available+passed.Seconds()*p.perSecond(), p.burst())
	}
	b.lastRefill = now
}
