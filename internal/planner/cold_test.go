package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// coldPlanner returns a planner of all hosts with replicas of the service llm, of which the first are cold for a minute.
func coldPlanner(replicas, cold int) *Planner {
	p := newTestPlanner(replicas)
	table := &p.Limits().Cold
	table.SetBounds(1.5, 5)
	table.SetServices(map[string]ratelimit.ColdService{"llm": {Start: 3 * time.Second, PerSecond: 15}})
	table.SetShare(1, 1, start.Add(time.Hour))
	for i := range replicas {
		remaining := time.Duration(0)
		if i < cold {
			remaining = time.Minute
		}
		table.Responded(start, p.services["llm"][fmt.Sprintf("i-%02d", i)].replica, start, remaining)
	}
	return p
}

// Guards against cold replicas that are left out of the prefill of long prompts, which sends them no request.
func TestColdReplicaHelpsLongPrompt(t *testing.T) {
	p := coldPlanner(8, 7)
	now := at(1000)
	for id := range p.services["llm"] {
		// More tokens than a cold replica has at any time.
		for range 10 {
			p.limits.Take(now, p.services["llm"][id].replica)
		}
	}
	plan := mustPlan(t, p, now, longRequest(0))
	if plan.Replica.ID != "i-07" || len(plan.Helpers) == 0 || plan.RateLimited || plan.Cold {
		t.Errorf("plan %+v, want helpers of the replica that isn't cold", plan)
	}
}

// Guards against callers that are refused as limited while a warm replica has room, and against plans for cold replicas beyond
// their rate.
func TestColdReplicasBesideWarmOne(t *testing.T) {
	p := coldPlanner(3, 2)
	cold := 0
	for i := range 200 {
		now := at(1000 + 10*i)
		p.Submit(now, shortRequest(i))
		for _, result := range p.Decide(now) {
			if result.Refusal != nil {
				t.Fatalf("request %s refused as %s", result.ID, result.Refusal.Cause)
			}
			if result.Plan.Cold != (result.Plan.Replica.ID != "i-02") || result.Plan.Cold && !result.Plan.RateLimited {
				t.Errorf("plan %+v", result.Plan)
			}
			if result.Plan.Cold {
				cold++
			}
			p.Started(now, "h", result.ID)
			p.Ended(now, "h", result.ID, OutcomeCompleted)
		}
	}
	if cold < 20 || cold > 2*(2*15+2) {
		t.Errorf("%d requests for two cold replicas in 2 s", cold)
	}
}

// Guards against cold times that change anything for a service without them.
func TestServiceWithoutColdReplicas(t *testing.T) {
	p := newTestPlanner(2)
	p.SetReplicas(at(0), []replica.Replica{{ID: "new", Service: "llm", Slots: 16, Born: 3}})
	if plan := mustPlan(t, p, at(10), shortRequest(0)); plan.Cold || plan.RateLimited || p.limits.Cold.Digest(at(10)) != 0 {
		t.Errorf("plan %+v", plan)
	}
}

// A replica is slow after its start. Guards against predictions at its rated speed, which place more prompts there than meet their
// targets, and against a slowdown that outlasts the start.
func TestSlownessAfterStartIsLearnt(t *testing.T) {
	const actual = 3 // times the rated time
	predict := func(p *Planner, ms, id int) time.Duration {
		now := at(ms)
		p.limits.Cold.SetShare(1, 1, now.Add(time.Second))
		p.Submit(now, shortRequest(id))
		for ; now.Before(at(ms + 200)); now = now.Add(10 * time.Millisecond) {
			for _, result := range p.Decide(now) {
				return result.Plan.FirstEventTime
			}
		}
		t.Fatalf("no plan for request %d", id)
		return 0
	}
	for _, isCold := range []bool{true, false} {
		p := coldPlanner(1, 0)
		if isCold {
			p = coldPlanner(1, 1)
		}
		p.SetEngines(map[string]*catalog.EngineParams{"llm": testEngine})
		rated := predict(p, 1000, 0)
		var last time.Duration
		for i := range 12 {
			ms := 1000 + 300*i
			if i > 0 {
				last = predict(p, ms, i)
			}
			p.Started(at(ms).Add(actual*rated+deliveryTime), "h", fmt.Sprint("s", i))
			p.Ended(at(ms).Add(actual*rated+deliveryTime+time.Millisecond), "h", fmt.Sprint("s", i), OutcomeCompleted)
			p.Decide(at(ms + 250))
		}
		if learnt := last > 2*rated; learnt != isCold || last > 4*rated {
			t.Errorf("cold %v: first event predicted after %v, rated %v, actual %v", isCold, last, rated, actual*rated)
		}
		p.limits.Cold.Responded(at(5000), p.sortedServers["llm"][0].replica, at(4990), 0)
		for ms := 5000; ms < 5000+int(warmupTime.Milliseconds())+2000; ms += 500 {
			p.Decide(at(ms))
		}
		if after := predict(p, 18000, 99); after != rated {
			t.Errorf("cold %v: first event predicted after %v long after the start, want %v", isCold, after, rated)
		}
	}
}
