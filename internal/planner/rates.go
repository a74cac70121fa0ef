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

// longRateMeter measures how much prefill the arriving long prompts of a service need.
type longRateMeter struct {
	engines     float64 // prefill time on one engine that arrived per unit of time, at lastArrival
	lastArrival time.Time
	typical     time.Duration // moving average of the prefill time, weighted by itself
}

// busyEngines returns the number of engines that the arriving long prompts keep busy.
func (m *longRateMeter) busyEngines(now time.Time) float64 {
	return m.engines * decay(now.Sub(m.lastArrival))
}

// record counts the arrival of a long prompt with the given prefill time on one engine.
func (m *longRateMeter) record(now time.Time, prefill time.Duration) {
	m.engines = m.busyEngines(now) + prefill.Seconds()/rateTimeConstant.Seconds()
	m.lastArrival = now
	weight := prefill.Seconds() / (prefill + 16*m.typical).Seconds()
	m.typical += time.Duration(weight * float64(prefill-m.typical))
}
