package planner

import (
	"math"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// Weight of the newest outcome in a server's share of failures.
	failureWeight = 0.2
	// A share of failures falls to a half in this time, so that a server is tried again.
	failureHalfLife = 3 * time.Second
	// A server that can't be reached is left alone for this time at first, twice as long after each failure.
	downTimeMin = 500 * time.Millisecond
	downTimeMax = 4 * time.Second
	// After a sign of life a server is taken as alive for this time.
	signTime = 500 * time.Millisecond
	// A pass that takes longer explains a silence.
	usualPass = 250 * time.Millisecond
)

// server is one replica with the work it has.
type server struct {
	replica  replica.Replica
	model    *pass.Model // nil for a plain service
	jobs     []*job      // that write or will write here
	shorts   int         // of jobs that are not heavy
	helps    int         // jobs that it reads a part for
	memory   int         // tokens that its jobs need
	failures float64
	failedAt time.Time
	down     time.Time // not used before
	downTime time.Duration
	downAt   time.Time
	fullTill time.Time // it said that it was full
	sign     time.Time // last sign of life
}

func (s *server) slots() int {
	if s.model != nil && s.model.Engine.Slots > 0 && s.replica.Slots == 0 {
		return s.model.Engine.Slots
	}
	return max(1, s.replica.Slots)
}

func (s *server) usable(now time.Time) bool {
	return !s.replica.Draining && !now.Before(s.down)
}

func (s *server) freeMemory() int { return s.model.Engine.MemoryTokens - s.memory }

// failureShare returns the expected share of requests that fail here.
func (s *server) failureShare(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	halves := float64(now.Sub(s.failedAt)) / float64(failureHalfLife)
	return s.failures * math.Exp2(-halves)
}

func (s *server) noteOutcome(now time.Time, failed bool) {
	share := s.failureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	s.failures = share
	s.failedAt = now
}

func (s *server) noteDown(now time.Time) {
	s.downTime = min(max(2*s.downTime, downTimeMin), downTimeMax)
	s.down = now.Add(s.downTime)
	s.downAt = now
}

func (s *server) noteUp(now time.Time) {
	s.downTime = 0
	s.down = time.Time{}
	s.noteOutcome(now, false)
}

// lagSlack is how much later than predicted a first event may be without meaning anything.
const lagSlack = 40 * time.Millisecond

// lag returns how far the server is behind the predictions, judged by the first events that are overdue.
func (s *server) lag(now time.Time) time.Duration {
	var lag time.Duration
	for _, j := range s.jobs {
		if !j.writing {
			lag = max(lag, now.Sub(j.first)-lagSlack)
		}
	}
	return lag
}

// leads tells whether the server may write a request that needs tokens of memory.
func (s *server) leads(now time.Time, tokens int) bool {
	return len(s.jobs) < s.slots() && s.freeMemory() >= tokens && !now.Before(s.fullTill)
}

// shortShare returns the share of the server's slots that short prompts hold.
func (s *server) shortShare() float64 { return float64(s.shorts) / float64(s.slots()) }

// fellSilent tells whether the server can't be reached since a moment ago.
func (s *server) fellSilent(now time.Time) bool {
	return now.Before(s.down) && now.Sub(s.downAt) < domainTime
}

// domainTime is within which several replicas of a failure domain that can't be reached mean that it is cut off.
const domainTime = time.Second

// readsHeavy tells whether the server reads, or will read, a heavy prompt of its own.
func (s *server) readsHeavy() bool {
	return slices.ContainsFunc(s.jobs, func(j *job) bool { return j.heavy && !j.writing })
}
