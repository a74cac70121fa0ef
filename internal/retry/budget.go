package retry

import "time"

// budget limits retries to a share of the requests, with a small reserve and refill for hosts with few requests.
type budget struct {
	retries float64 // that may start now
	updated time.Time
	began   time.Time // of the last request
}

// earn adds a request's share.
func (b *budget) earn(now time.Time, p *Policy) {
	b.refill(now, p)
	b.began = now
	b.retries = min(b.retries+p.ratio(), p.burst())
}

// refill adds what time alone gives.
func (b *budget) refill(now time.Time, p *Policy) {
	if b.updated.IsZero() {
		b.retries = p.burst()
	} else if passed := now.Sub(b.updated); passed > 0 {
		b.retries = min(b.retries+passed.Seconds()*p.perSecond(), p.burst())
	}
	b.updated = now
}
