package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// limitedPlanner returns a planner of a plain service with the given number of replicas, the first of which limit
// their requests to perSecond, for all hosts.
func limitedPlanner(replicas, limited int, perSecond float64) (*Planner, []replica.Replica) {
	p := New(0)
	var list []replica.Replica
	for i := range replicas {
		list = append(list, replica.Replica{ID: fmt.Sprint("r", i), Service: "desk", Slots: 50, Born: 1})
	}
	p.SetReplicas(start, list)
	for _, r := range list[:limited] {
		p.Limits().Named(start, r, start, true, perSecond)
	}
	return p, list
}

// placedIn submits requests at the given rate for a time and returns the placed ones by replica, and the refusals.
func placedIn(p *Planner, perSecond int, length time.Duration) (placed map[string][]time.Duration, refused []time.Duration) {
	placed = make(map[string][]time.Duration)
	step := time.Second / time.Duration(perSecond)
	n := 0
	for d := time.Duration(0); d < length; d += step {
		now := start.Add(d)
		p.Limits().SetShare(now, 1, now.Add(time.Second))
		n++
		p.Submit(now, Request{
			ID: fmt.Sprint(n), Host: "h", Service: "desk", FirstTarget: 300 * time.Millisecond, Deadline: 2 * time.Second,
		})
		for _, result := range p.Decide(now) {
			if result.Refusal != nil {
				refused = append(refused, d+result.Refusal.RetryAfter)
				continue
			}
			id := result.Plan.Replica.ID
			placed[id] = append(placed[id], d)
			p.Ended(now, "h", result.ID, OutcomeCompleted)
		}
	}
	return placed, refused
}

// The planner keeps the limit of each replica (incident LIMIT) and spends it; other replicas take the rest.
func TestPlannerKeepsLimitOfReplica(t *testing.T) {
	p, _ := limitedPlanner(3, 2, 2)
	placed, refused := placedIn(p, 50, 20*time.Second)
	if len(refused) != 0 {
		t.Errorf("%d requests refused while a replica takes them", len(refused))
	}
	for _, id := range []string{"r0", "r1"} {
		if n := len(placed[id]); n > 42 {
			t.Errorf("%s: %d requests in 20 s, limit 2 a second", id, n)
		}
	}
	if n := len(placed["r2"]); n < 900 {
		t.Errorf("the replica without a limit got %d of 1000 requests", n)
	}
}

// The only replicas are limited: they get what they take, and callers beyond that return at different times.
func TestCallersBeyondLimitsReturnOneAfterTheOther(t *testing.T) {
	p, _ := limitedPlanner(2, 2, 3)
	placed, refused := placedIn(p, 50, 20*time.Second)
	for id, times := range placed {
		if n := len(times); n < 54 || n > 62 {
			t.Errorf("%s: %d requests in 20 s, limit 3 a second", id, n)
		}
	}
	const slot = 100 * time.Millisecond
	inSlot := make(map[int]int)
	for _, at := range refused {
		inSlot[int(at/slot)]++
	}
	for i, n := range inSlot {
		if n > 12 {
			t.Errorf("%d callers return within %v, after %d times that", n, slot, i)
		}
	}
}

// A limited replica is no helper, since its limit counts requests that the planner can't see there.
func TestLimitedReplicaIsNoHelper(t *testing.T) {
	p := newDomainPlanner(4)
	for _, s := range p.sortedServers["llm"][:3] {
		p.Limits().Named(start, s.replica, start, true, 1)
	}
	p.Limits().SetShare(start, 1, start.Add(time.Minute))
	req := Request{
		ID: "long", Host: "h", Service: "llm", PromptTokens: 150000, OutputTokens: 800, LikelyTokens: 800,
		FirstTarget: 3 * time.Second, PauseTarget: time.Second, Deadline: 15 * time.Second,
		UntilDisconnect: 12 * time.Second, PauseTimeout: 12 * time.Second,
	}
	if plan := mustPlan(t, p, start.Add(2*time.Second), req); len(plan.Helpers) > 1 {
		t.Errorf("helpers %+v, only one replica isn't limited", plan.Helpers)
	}
}

// A planner that was frozen may not spend what its limits would have allowed meanwhile, nor anything before it has heard
// from its followers again.
func TestFrozenPlannerSpendsNothing(t *testing.T) {
	p, _ := limitedPlanner(1, 1, 100)
	placedIn(p, 10, time.Second)
	now := start.Add(10 * time.Second)
	p.Submit(now, Request{ID: "x", Host: "h", Service: "desk", FirstTarget: 300 * time.Millisecond, Deadline: 2 * time.Second})
	for _, result := range p.Decide(now) {
		if result.Plan != nil {
			t.Errorf("planned %+v after a freeze", result.Plan)
		}
	}
}
