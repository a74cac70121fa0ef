package planner

import (
	"math"
	"slices"
	"time"
)

const (
	// Weight of a first event in the slowdown of a server.
	slowdownWeight = 0.15
	// The share of a slowdown that is left a second later without a further first event. After 7 s it is a half.
	slowdownKept = 0.9
	// The largest slowdown that is learned. A server that is slower has failed rather.
	maxSlowdown = 4.0
	// First events that were predicted sooner than this say little of the speed of the server.
	minLearnedTime = 20 * time.Millisecond
)

// forgetSlowdowns lets the learned slowdowns fall, which it is called for every sweepInterval, so that a server that gets no
// requests any more for its slowdown is tried again.
func (p *Planner) forgetSlowdowns() {
	if !p.slowServers {
		return
	}
	for _, servers := range p.services {
		for _, s := range servers {
			if s.model != nil && s.lastCold.IsZero() {
				s.model.Slowdown = 1 + (s.model.Slowdown-1)*slowdownKept
			}
		}
	}
}

// learnSlowdown learns from the first event of a job, which arrives now, how slow its server is. Otherwise a failure domain
// whose servers are slow would keep its requests, since they are predicted to be in time. The slowdown falls with each first
// event that is in time. Replicas that were cold lately are left to learnWarmup.
func (p *Planner) learnSlowdown(now time.Time, j *job) {
	predicted := j.firstEvent.Sub(j.placedAt)
	s := j.server
	if p.crossingPrice <= 0 || s.model == nil || !s.lastCold.IsZero() || j.placedAt.IsZero() || j.split() ||
		predicted < minLearnedTime {
		return
	}
	late := now.Sub(j.firstEvent)
	p.delays.record(late)
	if !p.delays.reportsAreRecent() {
		return
	}
	ratio := 1 + float64(late)/float64(predicted)
	switch {
	case late > lagTolerance:
		ratio = min(ratio, maxSlowdown)
	case late > 0:
		ratio = 1
	default:
		ratio = max(ratio, 0.5)
	}
	model := s.model
	p.slowServers = true
	model.Slowdown = min(max(model.Slowdown*math.Pow(ratio, slowdownWeight), 1), maxSlowdown)
}

// recentDelays are the delays of the last first events behind their predictions, at whatever server.
type recentDelays struct {
	late  [31]time.Duration
	count int // of all that were recorded
}

func (d *recentDelays) record(late time.Duration) {
	d.late[d.count%len(d.late)] = late
	d.count++
}

// reportsAreRecent reports whether most of the first events were hardly late. Otherwise it is the reports that take their time,
// and they don't tell which servers are slow.
func (d *recentDelays) reportsAreRecent() bool {
	if d.count < len(d.late) {
		return false
	}
	sorted := d.late
	slices.Sort(sorted[:])
	return sorted[len(sorted)/2] <= lagTolerance
}
