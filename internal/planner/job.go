package planner

import (
	"time"
)

const (
	// A decoding request is assumed to have at least one in overrunDivisor of its expected events still to come.
	overrunDivisor = 4
	// Factor by which passes take longer than their decode steps alone, because of the prefill of short prompts.
	shortPrefillFactor = 1.25
)

// jobKey identifies a job by its entry host and the request's ID.
type jobKey struct{ host, id string }

// job is the planner's record of a placed request: it waits or runs at a server.
type job struct {
	key          jobKey
	request      Request
	server       *server
	helpers      []*server
	reservations []int     // tokens of memory reserved at each helper replica
	placed       time.Time // when the planner placed it; zero if another one did
	firstEvent   time.Time // time of the first event, predicted until it has arrived
	firstTarget  time.Time // time until which the first event meets its target
	expires      time.Time // time at which the job is removed if no host reported its end
	memoryTokens int       // tokens of memory that it takes at server
	decoding     bool      // the first event has arrived
	firstPass    int       // number of passes of the server's engine when the request started to decode
	missesTarget bool      // the request has missed one of its targets or is predicted to
	long         bool      // its prompt is long
}

// split reports whether several engines prefill the prompt.
func (j *job) split() bool { return len(j.helpers) > 0 }

// modelID returns the job's ID in the pass models, which is unique among the requests of all hosts.
func (j *job) modelID() string { return j.key.host + "/" + j.key.id }

// requestValue returns the value of a request to its caller, by which all losses are weighted. It grows with the work
// that the caller waits for.
func requestValue(promptTokens int) float64 {
	const (
		base         = 0.7
		perKiloToken = 0.12
	)
	return base + perKiloToken*float64(promptTokens)/1000
}

// missedTargetLoss is the share of a request's value that is lost if it misses its target.
const missedTargetLoss = 0.75

// firstEventTimeout returns the time left for the first event: until the caller is expected to disconnect or the
// deadline, whichever comes first.
func (req *Request) firstEventTimeout() time.Duration {
	if req.UntilDisconnect > 0 {
		return min(req.UntilDisconnect, req.Deadline)
	}
	return req.Deadline
}

// SubtractElapsed subtracts d, the time that has passed, from the request's first-event target, deadline and time
// until the caller disconnects. The last becomes 1 ns at least, since 0 means none.
func (req *Request) SubtractElapsed(d time.Duration) {
	req.FirstTarget -= d
	req.Deadline -= d
	if req.UntilDisconnect > 0 {
		req.UntilDisconnect = max(req.UntilDisconnect-d, 1)
	}
}

// deadline returns the time until which the request must be completed.
func (j *job) deadline() time.Time { return j.expires.Add(-expiryGrace) }

// likelyEvents returns the expected number of events in the request's stream.
func (j *job) likelyEvents() int { return j.request.LikelyTokens/j.server.model.Engine.EventTokens + 1 }

// remainingDecode returns the expected time until the last event of a decoding request, if the decode steps of a pass
// take decodeTime.
func (j *job) remainingDecode(decodeTime time.Duration) time.Duration {
	events := j.likelyEvents()
	remaining := max(events-(j.server.model.Passes()-j.firstPass), events/overrunDivisor, 1)
	return time.Duration(float64(remaining) * shortPrefillFactor * float64(decodeTime))
}
