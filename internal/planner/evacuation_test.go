package planner

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Guards against requests, short and split ones, that reach a replica of an evacuated failure domain as their primary or a
// helper replica, and against a domain that stays unused after its evacuation.
func TestEvacuatedDomainGetsNoPlacements(t *testing.T) {
	p := newDomainPlanner(18)
	uses := func(now time.Time, domain byte) int {
		used := 0
		for i := range 12 {
			short, long := shortRequest(i), longRequest(i)
			long.PromptTokens = 500000
			for _, req := range []Request{short, long} {
				plan := mustPlan(t, p, now, req)
				if plan.Replica.ID[0] == domain {
					used++
				}
				for _, h := range plan.Helpers {
					if h.Replica[0] == domain {
						used++
					}
				}
				p.Ended(now, req.Host, req.ID, OutcomeCompleted)
			}
		}
		return used
	}
	if uses(at(0), 'b') == 0 {
		t.Fatal("the domain isn't used before the evacuation")
	}
	p.SetEvacuated([]string{"b", "unknown"})
	if n := uses(at(5000), 'b'); n > 0 {
		t.Errorf("%d placements in the evacuated domain", n)
	}
	var list []replica.Replica // b has a new replica, and one of c has moved there
	for _, s := range p.sortedServers["llm"] {
		r := s.replica
		if r.ID == "c-02" {
			r.FailureDomain = "b"
		}
		list = append(list, r)
	}
	list = append(list, replica.Replica{ID: "b-90", Service: "llm", Slots: 16, FailureDomain: "b"})
	p.SetReplicas(at(9000), list)
	if n := uses(at(10000), 'b'); n > 0 {
		t.Errorf("%d placements in the evacuated domain after the list of replicas has changed", n)
	}
	if s := p.services["llm"]["c-02"]; !s.evacuated || s.usable(at(10000), "h") {
		t.Error("a replica that has moved to the evacuated domain is usable")
	}
	p.SetEvacuated(nil)
	if uses(at(15000), 'b') == 0 {
		t.Error("the domain isn't used after the evacuation")
	}
}

// All other replicas are excluded without a try. Guards against a replica of an evacuated domain that is tried as the last
// resort, and against callers that are told to come back when it will be tried again.
func TestEvacuatedReplicaIsNoLastResort(t *testing.T) {
	p := newDomainPlanner(6)
	for _, s := range p.services["llm"] {
		p.excludeOne(at(0), s, allHosts, "h", s.replica.FailureDomain != "b")
		if s.replica.FailureDomain != "b" {
			p.excludeOne(at(0), s, allHosts, "h", true) // for twice as long
		}
	}
	p.SetEvacuated([]string{"b"})
	req := shortRequest(0)
	p.Submit(at(1), req)
	results := p.Decide(at(1))
	if len(results) != 1 || results[0].Refusal == nil || results[0].Refusal.Cause != CauseNoReplica {
		t.Fatalf("results %+v", results)
	}
	if after := results[0].Refusal.RetryAfter; after <= minExclusion || after > 2*minExclusion {
		t.Errorf("Retry-After %v, though the other replicas are tried again after %v", after, 2*minExclusion)
	}
}

// Requests wait for slots when their service's only domain is evacuated, and more come. Guards against requests that wait
// for their timeout, and against callers that are told to come back before anything can have changed.
func TestWholeServiceIsEvacuated(t *testing.T) {
	p := newDomainPlanner(3)
	occupySlots(t, p)
	for i := range 5 {
		req := shortRequest(900 + i)
		req.FirstTarget = 5 * time.Second
		p.Submit(at(10), req)
	}
	waiting := p.Waiting()
	for range p.Decide(at(10)) {
		waiting--
	}
	if waiting == 0 {
		t.Fatal("no request waits")
	}
	p.SetEvacuated([]string{"a", "b", "c"})
	results := p.Decide(at(40))
	if len(results) != waiting || p.Waiting() != 0 {
		t.Errorf("%d results and %d requests that wait, want %d and none", len(results), p.Waiting(), waiting)
	}
	for _, result := range results {
		if result.Refusal == nil || result.Refusal.Cause != CauseEvacuated || result.Refusal.RetryAfter != evacuatedRetryAfter {
			t.Errorf("result %+v", result)
		}
	}
	if n := len(p.jobs); n == 0 {
		t.Error("requests that run were forgotten")
	}
}

// The slots of the replicas that remain are all taken for long, while those of the evacuated domain will soon be free. Guards
// against requests that wait for slots which they don't get.
func TestSlotsOfEvacuatedDomainAreNotWaitedFor(t *testing.T) {
	p := newDomainPlanner(3)
	occupySlots(t, p)
	for _, j := range p.jobs {
		if j.server.replica.FailureDomain != "b" {
			j.firstEvent = at(60000)
		}
	}
	p.SetEvacuated([]string{"b"})
	req := shortRequest(900)
	req.UntilDisconnect = 2 * time.Second
	p.Submit(at(50), req)
	results := p.Decide(at(50))
	if len(results) != 1 || results[0].Refusal == nil {
		t.Errorf("results %+v, want a refusal at once", results)
	}
}

// occupySlots places short requests until all slots are taken.
func occupySlots(t *testing.T, p *Planner) {
	t.Helper()
	for i := range 3 * 16 {
		req := shortRequest(i)
		req.FirstTarget, req.Deadline = 100*time.Second, 100*time.Second
		mustPlan(t, p, at(0), req)
	}
}
