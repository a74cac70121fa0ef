package platform

import (
	"math/rand/v2"
	"time"
)

const (
	breakerFailures   = 5 // consecutive failures that open the breaker
	breakerMinOpen    = 200 * time.Millisecond
	breakerMaxOpen    = 5 * time.Second
	breakerOpenFactor = 2 // by which each failed probe lengthens the open period
)

// breaker is a circuit breaker: after consecutive failures it rejects all calls for an open period and then admits one
// call at a time as a probe of the platform.
//
// Its zero value is closed. It reads no clock. The random numbers of rnd spread the probes of many hosts over time.
type breaker struct {
	rnd        *rand.Rand
	failures   int           // consecutive failures
	openPeriod time.Duration // length of the current open period before jitter; 0 while closed
	openUntil  time.Time     // end of the open period
	probing    bool          // a probe is in progress
}

// allow reports whether a call may start at now. If not, it returns how long to wait before the next probe.
func (b *breaker) allow(now time.Time) (bool, time.Duration) {
	if b.openPeriod == 0 {
		return true, 0
	}
	if now.Before(b.openUntil) {
		return false, b.openUntil.Sub(now)
	}
	if b.probing {
		return false, breakerMinOpen
	}
	b.probing = true
	return true, 0
}

// succeeded records that the platform responded to a call. It closes the breaker.
func (b *breaker) succeeded() {
	b.failures = 0
	b.openPeriod = 0
	b.probing = false
}

// failed records that a call ended at now without a usable response of the platform. It opens the breaker after
// breakerFailures consecutive failures, and again after a failed probe.
func (b *breaker) failed(now time.Time) {
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	if b.openPeriod > 0 && !b.probing {
		return // the call started before the breaker opened
	}
	b.probing = false
	b.openPeriod = min(max(b.openPeriod*breakerOpenFactor, breakerMinOpen), breakerMaxOpen)
	b.openUntil = now.Add(b.openPeriod/2 + time.Duration(b.rnd.Int64N(int64(b.openPeriod/2)+1)))
}

// inconclusive records that a call ended without showing whether the platform responds. If a probe was in progress, the
// next call becomes the probe.
func (b *breaker) inconclusive() {
	b.probing = false
}
