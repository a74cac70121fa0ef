package planner

import (
	"time"
)

const (
	// A request that has written what was likely goes on for one in so many of its events.
	unexpectedShare = 4
	// How much longer than their token steps passes take with the reading of short prompts.
	usualReading = 1.25
)

type jobKey struct{ host, id string }

// job is a request that runs or waits at a server.
type job struct {
	key      jobKey
	ask      Ask
	server   *server
	helpers  []*server
	reserves []int     // tokens reserved at each helper
	first    time.Time // predicted or seen first event
	aim      time.Time // the first event is late after this
	expires  time.Time
	tokens   int // memory at its server
	writing  bool
	passes   int // of its server's engine when it began to write
	late     bool
	heavy    bool
}

func (j *job) joint() bool { return len(j.helpers) > 0 }

// name tells the job apart from others at a pass model.
func (j *job) name() string { return j.key.host + "/" + j.key.id }

// value weighs a request by the work that its caller waits for.
func value(promptTokens int) float64 {
	const (
		base         = 0.7
		perKiloToken = 0.12
	)
	return base + perKiloToken*float64(promptTokens)/1000
}

// lateLoss is the share of a request's value that is lost if it is late.
const lateLoss = 0.75

// limit returns how much time is left for the first event.
func (a *Ask) limit() time.Duration {
	if a.Leave > 0 {
		return min(a.Leave, a.Deadline)
	}
	return a.Deadline
}

// Elapse takes time that has passed off what is left.
func (a *Ask) Elapse(d time.Duration) {
	a.FirstAim -= d
	a.Deadline -= d
	if a.Leave > 0 {
		a.Leave = max(a.Leave-d, 1)
	}
}

// deadline returns when the request must be done.
func (j *job) deadline() time.Time { return j.expires.Add(-expiryGrace) }

// likelyEvents returns how many events the request's stream is likely to have.
func (j *job) likelyEvents() int { return j.ask.LikelyTokens/j.server.model.Engine.EventTokens + 1 }

// toWrite returns how long a request that writes is likely to need until its last event, in passes of the given steps.
func (j *job) toWrite(steps time.Duration) time.Duration {
	events := j.likelyEvents()
	left := max(events-(j.server.model.Passes()-j.passes), events/unexpectedShare, 1)
	return time.Duration(float64(left) * usualReading * float64(steps))
}
