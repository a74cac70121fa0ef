package planner

import (
	"slices"
	"testing"
	"time"
)

// Guards against placements whose first event comes before the deadline but whose last one can't: the engines would
// prefill the prompt for nothing. If no number of engines could do it in time, the prompt is refused at once.
func TestPlacementLeavesTimeToDecode(t *testing.T) {
	const engines = 4
	for _, test := range []struct {
		name            string
		deadline        time.Duration
		placed, refused bool
	}{
		// Three engines prefill the prompt in 3.7 s, and its response takes 1.7 s to decode.
		{"time for both", 7 * time.Second, true, false},
		{"time for the first event only", 4200 * time.Millisecond, false, true},
	} {
		p := newDomainPlanner(engines)
		req := longRequest(0)
		req.PromptTokens, req.LikelyTokens = 300000, 35*testEngine.EventTokens
		req.Deadline, req.UntilDisconnect = test.deadline, 16*time.Second
		p.Submit(at(0), req)
		results := p.Decide(at(0))
		placed := len(results) == 1 && results[0].Plan != nil
		refused := len(results) == 1 && results[0].Refusal != nil
		if placed != test.placed || refused != test.refused {
			t.Errorf("%s: placed %v, refused %v, results %+v", test.name, placed, refused, results)
		}
	}
}

// Load: the heavy phases of the logbook customer. Engines don't prefill prompts for long that end at their deadlines with
// nothing. The seed is one of those in which they did.
func TestEnginesAreNotSpentOnResponsesThatEndTooLate(t *testing.T) {
	const mostWasted = 20 * time.Second // of the engines' time, 1,350 s in all
	all := logbookArrivals(6, logbookHeavyDay)
	c := &contest{policy: &plannerContender{planner: newLogbookPlanner(0)}}
	c.run(slices.Clone(all))
	if c.wasted > mostWasted {
		t.Errorf("engines spent %v on prompts that got nothing, want at most %v", c.wasted, mostWasted)
	}
	t.Logf("share of the value %.3f", shareOf(all))
}
