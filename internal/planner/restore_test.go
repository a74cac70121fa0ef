package planner

import (
	"testing"
	"time"
)

// prefillTime returns the prefill time that the planner expects to be queued at all engines.
func prefillTime(p *Planner, now time.Time) time.Duration {
	var sum time.Duration
	for _, s := range p.sortedServers["llm"] {
		f := s.model.Forecast(now)
		sum += f.QueuedParts + f.QueuedOwn
	}
	return sum
}

// placementOf returns the placement of a request with the given plan, made at placedAt, as its host reports it at now.
func placementOf(req Request, plan *Plan, placedAt, now time.Time) Placement {
	elapsed := now.Sub(placedAt)
	req.SubtractElapsed(elapsed)
	return Placement{
		Request: req, Replica: plan.Replica.ID, Helpers: plan.Helpers, FirstEvent: max(plan.FirstEventTime-elapsed, 1),
	}
}

// The planner of a fleet is lost while engines prefill long prompts. The next planner must not take the engines for busy
// longer than they are: it would refuse the short prompts that fit.
func TestRestoredPrefillIsNotStartedAnew(t *testing.T) {
	first, next := newDomainPlanner(8), newDomainPlanner(8)
	plan := mustPlan(t, first, at(0), longRequest(0))
	left := prefillTime(first, at(500))
	next.Restore(at(500), placementOf(longRequest(0), plan, at(0), at(500)))
	if got := prefillTime(next, at(500)); got > left+time.Duration(len(plan.Helpers)+1)*mergeTime*2 {
		t.Errorf("the next planner expects %v of prefill, the first one %v", got, left)
	}
	over := at(int(plan.FirstEventTime/time.Millisecond) + 1)
	if got := prefillTime(next, over); got != 0 {
		t.Errorf("%v of prefill remain after the first event was due", got)
	}
}

// A host that was frozen reports its requests again to the planner that placed them. The planner must keep what it
// knows of them, and drop those that aren't reported any more.
func TestRequestsReportedAgainKeepTheirPredictions(t *testing.T) {
	p := newDomainPlanner(8)
	long := mustPlan(t, p, at(0), longRequest(0))
	mustPlan(t, p, at(0), shortRequest(1))
	started := mustPlan(t, p, at(0), shortRequest(2))
	before := prefillTime(p, at(300))
	startedPlacement := placementOf(shortRequest(2), started, at(0), at(300))
	startedPlacement.Decoding = true
	p.ReplaceHost(at(300), "h", []Placement{placementOf(longRequest(0), long, at(0), at(300)), startedPlacement})
	if after := prefillTime(p, at(300)); after > before {
		t.Errorf("%v of prefill after the report, %v before", after, before)
	}
	if p.jobs[jobKey{"h", "s1"}] != nil {
		t.Error("a request that has ended is kept")
	}
	if j := p.jobs[jobKey{"h", "s2"}]; j == nil || !j.decoding {
		t.Error("a request that has started to decode is not known as such")
	}
}

// A planner whose last replica of a service is gone no longer knows its engines. Long prompts that wait must not stop it.
func TestLongPromptsWaitWhileEnginesAreUnknown(t *testing.T) {
	p := newDomainPlanner(1)
	for i := range 3 {
		p.Submit(at(0), longRequest(i))
	}
	p.Decide(at(0))
	if p.Waiting() == 0 {
		t.Fatal("no request waits")
	}
	p.SetEngines(nil)
	p.SetReplicas(at(20), nil)
	for _, result := range p.Decide(at(20)) {
		if result.Refusal == nil || result.Refusal.Cause != CauseNoReplica {
			t.Errorf("result %+v", result)
		}
	}
}

// Hosts report split prompts to a planner that has just started and doesn't know the engines yet, and leave it again.
func TestSplitPromptsReportedBeforeEnginesAreKnown(t *testing.T) {
	p := newDomainPlanner(3)
	p.SetEngines(nil)
	p.ReplaceHost(at(0), "h", []Placement{
		{Request: longRequest(0), Replica: "a-00", Helpers: []Helper{{Replica: "b-01"}}},
		{Request: longRequest(1), Replica: "c-02", Helpers: []Helper{{Replica: "b-01"}}},
	})
	p.Ended(at(100), "h", longRequest(1).ID, OutcomeCompleted)
	p.ReplaceHost(at(100), "h", nil)
	if n := len(p.jobs); n != 0 {
		t.Errorf("%d requests remain", n)
	}
}
