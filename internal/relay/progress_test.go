package relay

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

func TestMayRetry(t *testing.T) {
	const (
		done        = planner.OutcomeDone
		refused     = planner.OutcomeRefused
		broken      = planner.OutcomeBroken
		silent      = planner.OutcomeSilent
		failed      = planner.OutcomeFailed
		unreachable = planner.OutcomeUnreachable
	)
	for _, test := range []struct {
		name     string
		repeat   call.Repeat
		attempts int
		outcomes []planner.Outcome
		want     bool
	}{
		{"not idempotent, refused", call.RepeatNever, 1, []planner.Outcome{refused}, true},
		{"not idempotent, unreachable", call.RepeatNever, 1, []planner.Outcome{unreachable}, true},
		{"not idempotent, broken", call.RepeatNever, 2, []planner.Outcome{broken}, false},
		{"not idempotent, silent", call.RepeatNever, 2, []planner.Outcome{silent}, false},
		{"not idempotent, failed", call.RepeatNever, 2, []planner.Outcome{failed}, false},
		{"idempotent, broken", call.RepeatWhole, 2, []planner.Outcome{broken}, true},
		{"idempotent, broken twice", call.RepeatWhole, 2, []planner.Outcome{broken, broken}, false},
		{"idempotent, broken with one attempt", call.RepeatWhole, 1, []planner.Outcome{broken}, false},
		{"stream, broken", call.RepeatResume, 2, []planner.Outcome{broken}, true},
		{"stream, refused after broken", call.RepeatResume, 2, []planner.Outcome{broken, refused}, true},
		{"refused too often", call.RepeatWhole, 2, []planner.Outcome{refused, refused, refused, refused, refused}, false},
		{"done", call.RepeatWhole, 2, []planner.Outcome{done}, false},
	} {
		p := progress{repeat: test.repeat, maxRuns: test.attempts}
		for _, o := range test.outcomes {
			p.record(o)
		}
		if got := p.mayRetry(test.outcomes[len(test.outcomes)-1]); got != test.want {
			t.Errorf("%s: mayRetry returned %v, want %v", test.name, got, test.want)
		}
	}
}
