package planner

import (
	"slices"
	"testing"
	"time"
)

// returningCaller is a caller that sends its request again, as new, each time a refusal has told it to.
type returningCaller struct {
	request   Request
	due       time.Time
	submitted bool
	refusals  int
	placed    bool
}

// playBurst sends the requests of a burst to a planner, 1 ms apart, until all of them are placed or the time is over. It
// plays the engines by the times that the plans predict.
func playBurst(p *Planner, requests []Request, length time.Duration) map[string]*returningCaller {
	callers := make(map[string]*returningCaller, len(requests))
	for i := range requests {
		callers[requests[i].ID] = &returningCaller{request: requests[i], due: at(i)}
	}
	var running []runningRequest
	for now := start; now.Before(start.Add(length)); now = now.Add(5 * time.Millisecond) {
		for i := range requests {
			if c := callers[requests[i].ID]; !c.submitted && !now.Before(c.due) {
				c.submitted = true
				p.Submit(now, c.request)
			}
		}
		for _, result := range p.Decide(now) {
			c := callers[result.ID]
			if result.Refusal != nil {
				c.refusals++
				c.submitted, c.due = false, now.Add(result.Refusal.RetryAfter)
				continue
			}
			c.placed = true
			first := now.Add(result.Plan.FirstEventTime)
			running = append(running, runningRequest{id: result.ID, first: first, end: first.Add(1500 * time.Millisecond)})
		}
		running = slices.DeleteFunc(running, func(r runningRequest) bool { return r.report(p, now) })
	}
	return callers
}

// Load: bursts of long and of short prompts, over twice what the engines serve while their callers wait. Guards against
// Retry-After times at which all callers return together and most are refused again: of those that return when they are told,
// at most one in refusedAgainDivisor may be.
func TestRefusedCallersAreNotRefusedAgain(t *testing.T) {
	const refusedAgainDivisor = 50
	for name, burst := range map[string][]Request{"long": burstOf(longRequest, 120), "short": burstOf(shortRequest, 1500)} {
		callers := playBurst(newDomainPlanner(16), burst, 60*time.Second)
		refused, again, placed := 0, 0, 0
		for _, c := range callers {
			if c.refusals > 0 {
				refused++
				again += c.refusals - 1
			}
			if c.placed {
				placed++
			}
		}
		if again > refused/refusedAgainDivisor || refused < len(burst)/4 || placed < len(burst) {
			t.Errorf("%s: of %d prompts %d were refused and %d placed; %d times one was refused again", name, len(burst),
				refused, placed, again)
		}
	}
}

// burstOf returns n requests.
func burstOf(request func(int) Request, n int) []Request {
	requests := make([]Request, n)
	for i := range requests {
		requests[i] = request(i)
	}
	return requests
}
