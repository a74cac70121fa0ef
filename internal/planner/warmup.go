package planner

import "time"

const (
	// How long after a replica was last cold it is expected to be slow, at most.
	warmupTime = 10 * time.Second
	// Weight of the latest first event in a replica's slowdown.
	warmupWeight = 0.3
	// The largest slowdown that is predicted. A first event that comes later has other causes than a start.
	maxWarmupSlowdown = 8.0
	// The part of a slowdown that stays after each call of sweep, so that a replica that gets no requests for its slowness is
	// tried again.
	warmupDecay = 0.8
	// A prediction that is shorter says nothing about the speed of an engine.
	minWarmupPrediction = 5 * time.Millisecond
)

// learnWarmup learns from the first event of a job, which has arrived at now, how slow its replica is after its start. It does
// nothing for replicas that weren't cold lately.
func (p *Planner) learnWarmup(now time.Time, j *job) {
	s := j.server
	if p.limits.Cold.Remaining(now, s.replica) > 0 {
		s.lastCold = now
	}
	predicted := j.firstEvent.Sub(j.placedAt)
	if s.model == nil || s.lastCold.IsZero() || j.placedAt.IsZero() || j.split() || predicted < minWarmupPrediction {
		return
	}
	took := now.Sub(j.placedAt) - deliveryTime
	slowdown := j.slowdown * float64(took) / float64(predicted)
	s.setSlowdown(now, s.model.Slowdown+warmupWeight*(min(slowdown, maxWarmupSlowdown)-s.model.Slowdown))
}

// setSlowdown sets how slow the server's engine is predicted to be from now on.
func (s *server) setSlowdown(now time.Time, slowdown float64) {
	s.model.Advance(now)
	s.model.Slowdown = max(slowdown, 1)
}

// endWarmups lets the predictions of all replicas approach their rated speed, and ends the slowdown of those that were cold too
// long ago.
func (p *Planner) endWarmups(now time.Time) {
	for _, servers := range p.services {
		for _, s := range servers {
			switch {
			case s.lastCold.IsZero() || s.model == nil:
			case now.Sub(s.lastCold) > warmupTime:
				s.lastCold = time.Time{}
				s.setSlowdown(now, 1)
			default:
				s.setSlowdown(now, 1+warmupDecay*(s.model.Slowdown-1))
			}
		}
	}
}
