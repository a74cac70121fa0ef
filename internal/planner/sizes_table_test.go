package planner

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/promptsize"
)

// Guards against precedence for sizes that are refused for what they are: prompts over the memory of all engines, or with a part that
// crashes replicas, are refused at once, and sound prompts of about their length don't go first for it.
func TestOnlyRefusalsForLackOfEnginesPutSizesBehind(t *testing.T) {
	for _, test := range []struct {
		cause Cause
		want  bool
	}{
		{CauseNoSlot, true}, {CauseOutOfTime, true}, {CauseTooLarge, false}, {CauseCrashes, false}, {CauseEvacuated, false}, {CauseLimited, false},
	} {
		p := newDomainPlanner(4)
		small, large := longRequest(1), longRequest(2)
		small.PromptTokens, large.PromptTokens = 50000, 300000
		for range 10 {
			p.recordSize(start, &small, (*promptsize.Table).Placed)
			p.recordRefused(start, &large, test.cause)
		}
		p.Submit(start, large)
		p.setBehind(start.Add(100 * time.Millisecond)) // it hasn't waited for long
		if got := p.waiting[0].behind; got != test.want {
			t.Errorf("after refusals as %s: behind %v, want %v", test.cause, got, test.want)
		}
	}
}
