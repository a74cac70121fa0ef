package planner

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant with which a measured arrival rate decays.
const rateTimeConstant = 1500 * time.Millisecond

// decay returns the factor by which a measured rate falls in a time d without arrivals.
func decay(d time.Duration) float64 { return math.Exp(-float64(d) / float64(rateTimeConstant)) }

// shortRateMeter measures the arrival rate and the size of short prompts of a service.
type shortRateMeter struct {
	rate          float64 // prompts per second at lastArrival
	lastArrival   time.Time
	typicalTokens int // moving average of the prompt length
}

// perSecond returns the arrival rate in prompts per second.
func (m *shortRateMeter) perSecond(now time.Time) float64 {
	return m.rate * decay(now.Sub(m.lastArrival))
}

// record counts the arrival of a short prompt.
func (m *shortRateMeter) record(now time.Time, tokens int) {
	m.rate = m.perSecond(now) + 1/rateTimeConstant.Seconds()
	m.lastArrival = now
	if m.typicalTokens == 0 {
		m.typicalTokens = tokens
	}
	m.typicalTokens += (tokens - m.typicalTokens) / 16
}
