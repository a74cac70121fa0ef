package retry_test

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/bench/storm"
	"github.com/turmericshunt/turmericshunt/internal/retry"
)

// TestBudgetPreventsStorm simulates an outage of a third of the backend servers. With budgets, further attempts stay
// within them and goodput recovers to at least 90 % of its earlier value after the outage. Without budgets, there are
// more further attempts than the budgets would allow, and goodput stays below 90 %.
func TestBudgetPreventsStorm(t *testing.T) {
	withBudget := storm.Simulate(1, func(*retry.Policy) {})
	if float64(withBudget.Extra) > storm.Budget(withBudget) {
		t.Errorf("%d further attempts with a budget of %.0f", withBudget.Extra, storm.Budget(withBudget))
	}
	withoutBudget := storm.Simulate(1, retry.IgnoreBudgets)
	if float64(withoutBudget.Extra) <= storm.Budget(withoutBudget) {
		t.Errorf("only %d further attempts without a budget", withoutBudget.Extra)
	}
	if withBudget.After < 0.9*withBudget.Before || withoutBudget.After > 0.9*withoutBudget.Before {
		t.Errorf("goodput after the outage: %.0f of %.0f, without a budget %.0f",
			withBudget.After, withBudget.Before, withoutBudget.After)
	}
}
