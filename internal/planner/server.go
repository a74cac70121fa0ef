package planner

import (
	"math"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// Weight of the latest outcome in a server's failure rate.
	failureWeight = 0.2
	// Time in which a failure rate falls to a half, so that the server is tried again.
	failureHalfLife = 3 * time.Second
	// A server that asks one host for a pause gets no requests of other hosts for at most this time. After it, the next
	// host finds out whether the server asks it for a pause too.
	maxCommonPause = time.Second
	// Time after a first event or complete response for which a server is assumed to be alive.
	aliveWindow = 500 * time.Millisecond
	// If a request's predicted wait, for queued prefill or the next pass, exceeds this, the server's silence is not
	// taken for a failure.
	usualPassLimit = 250 * time.Millisecond
	// One in unusedMemoryDivisor tokens of an engine's memory is left free.
	unusedMemoryDivisor = 256
)

// server is one replica and the requests placed on it.
type server struct {
	replica         replica.Replica
	rank            uint64 // in the planner's order
	domain          *domainState
	model           *pass.Model // predicts its engine's passes; nil for a service without an engine
	jobs            []*job      // requests that it decodes or will decode
	shortJobs       int         // number of jobs whose prompts are not long
	helperJobs      int         // number of jobs of other servers for which it prefills a part
	longWork        int         // result of measureLongWork when it was last called
	usedTokens      int         // memory that jobs and the parts of others take here, in tokens
	lastFailureRate float64     // failure rate at lastOutcome
	lastOutcome     time.Time   // time of the last recorded outcome
	refusedUntil    time.Time   // after OutcomeRefused: is no primary replica before this time
	pausedUntil     time.Time   // asked for a pause: gets no requests before this time
	beyondLimit     bool        // its limit allows no request now, as withinLimits found last: it is no primary replica
	lastCold        time.Time   // last first event while it was cold; zero if it is expected to run at its rated speed
	lastAlive       time.Time   // time of the last first event or complete response from it
	// When hosts reported that they can't reach it, by host; nil after a first event or complete response.
	unreachableBy map[string]time.Time
	exclusions    map[string]*exclusion // by host whose requests it doesn't get, or allHosts
	evacuated     bool                  // its failure domain is evacuated: gets no requests
}

// slots returns the number of requests that the server can run at the same time: that of the replica, else that of the
// engine, else 1.
func (s *server) slots() int {
	if s.model != nil && s.model.Engine.Slots > 0 && s.replica.Slots == 0 {
		return s.model.Engine.Slots
	}
	return max(1, s.replica.Slots)
}

// removeFromModel removes a request from the pass model. A server loses its model when its service is no longer known to
// have engines.
func (s *server) removeFromModel(now time.Time, id string, split bool) {
	if s.model != nil {
		s.model.Remove(now, id, split)
	}
}

// usable reports whether the server takes requests of a host, or with allHosts of any host, and is neither excluded nor
// paused.
func (s *server) usable(now time.Time, host string) bool {
	return s.takesRequests(now) && !s.isExcluded(now, host)
}

// takesRequests reports whether the server takes requests, whatever excludes it.
func (s *server) takesRequests(now time.Time) bool {
	return s.replica.TakesRequests() && !s.evacuated && !now.Before(s.pausedUntil)
}

// freeMemory returns the free memory of the server's engine in tokens.
func (s *server) freeMemory() int { return s.memory() - s.usedTokens }

// memory returns the memory of the server's engine that requests can take, in tokens. An engine allocates it in blocks,
// so a part of it remains unused.
func (s *server) memory() int {
	tokens := s.model.Engine.MemoryTokens
	return tokens - tokens/unusedMemoryDivisor
}

// failureRate returns the expected share of requests that fail here.
func (s *server) failureRate(now time.Time) float64 {
	if s.lastFailureRate == 0 {
		return 0
	}
	halfLives := float64(now.Sub(s.lastOutcome)) / float64(failureHalfLife)
	return s.lastFailureRate * math.Exp2(-halfLives)
}

// recordOutcome updates the failure rate.
func (s *server) recordOutcome(now time.Time, failed bool) {
	rate := s.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	s.lastFailureRate = rate
	s.lastOutcome = now
}

// lagTolerance is the delay of a first event behind its prediction that isn't counted as lag.
const lagTolerance = 40 * time.Millisecond

// lag returns how far the server is behind its predictions, judged by the most overdue first event.
func (s *server) lag(now time.Time) time.Duration {
	var lag time.Duration
	for _, j := range s.jobs {
		if !j.decoding {
			lag = max(lag, now.Sub(j.firstEvent)-lagTolerance)
		}
	}
	return lag
}

// canBePrimary reports whether the server can be the primary replica of a request that needs this many tokens of
// memory.
func (s *server) canBePrimary(now time.Time, tokens int) bool {
	return len(s.jobs) < s.slots() && s.freeMemory() >= tokens && !now.Before(s.refusedUntil) && !s.beyondLimit
}

// shortSlotShare returns the share of the server's slots that short prompts take.
func (s *server) shortSlotShare() float64 { return float64(s.shortJobs) / float64(s.slots()) }

// longPrefillWork is the work that each long prompt counts which a server helps to prefill or prefills for itself.
const longPrefillWork = 100

// measureLongWork returns a measure of what the server has to do, by which servers are compared for a long prompt.
func (s *server) measureLongWork() int {
	work := len(s.jobs) + longPrefillWork*s.helperJobs
	if s.prefillsOwnLongPrompt() {
		work += longPrefillWork
	}
	return work
}

// prefillsOwnLongPrompt reports whether the server prefills a long prompt of a request that it will decode, or has one
// queued.
func (s *server) prefillsOwnLongPrompt() bool {
	return slices.ContainsFunc(s.jobs, func(j *job) bool { return j.long && !j.decoding })
}
