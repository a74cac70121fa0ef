package retry_test

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/bench/storm"
	"github.com/turmericshunt/turmericshunt/internal/retry"
)

func TestBudgetPreventsStorm(t *testing.T) {
	on := storm.Simulate(1, func(*retry.Policy) {})
	if float64(on.Extra) > storm.Budget(on) {
		t.Errorf("%d further attempts with a budget of %.0f", on.Extra, storm.Budget(on))
	}
	off := storm.Simulate(1, retry.Unlimited)
	if float64(off.Extra) <= storm.Budget(off) {
		t.Errorf("only %d further attempts without a budget", off.Extra)
	}
	if on.After < 0.9*on.Before || off.After > 0.9*off.Before {
		t.Errorf("goodput after the outage: %.0f of %.0f, without a budget %.0f", on.After, on.Before, off.After)
	}
}
