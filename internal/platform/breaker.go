package platform

import (
	"math/rand/v2"
	"time"
)

const (
	breakerFailures   = 5
	breakerMinOpen    = 200 * time.Millisecond
	breakerMaxOpen    = 5 * time.Second
	breakerOpenFactor = 2
)

// breaker stops calls for a while after consecutive failures, then lets one call probe the platform.
//
// Its zero value is closed. It reads no clock; rnd spreads the probes of many hosts.
type breaker struct {
	rnd      *rand.Rand
	failures int
	open     time.Duration // length of the current open period; 0 while closed
	until    time.Time     // end of the open period
	probing  bool
}

// allow reports whether a call may start at now; if not, it returns the time to the next probe.
func (b *breaker) allow(now time.Time) (bool, time.Duration) {
	if b.open == 0 {
		return true, 0
	}
	if now.Before(b.until) {
		return false, b.until.Sub(now)
	}
	if b.probing {
		return false, breakerMinOpen
	}
	b.probing = true
	return true, 0
}

// succeeded records that a call was answered.
func (b *breaker) succeeded() {
	b.failures = 0
	b.open = 0
	b.probing = false
}

// failed records at now that a call was not answered.
func (b *breaker) failed(now time.Time) {
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	if b.open > 0 && !b.probing {
		return // a call that started before the breaker opened
	}
	b.probing = false
	b.open = min(max(b.open*breakerOpenFactor, breakerMinOpen), breakerMaxOpen)
	b.until = now.Add(b.open/2 + time.Duration(b.rnd.Int64N(int64(b.open/2)+1)))
}

// withdrawn records that a call ended without telling anything about the platform.
func (b *breaker) withdrawn() {
	b.probing = false
}
