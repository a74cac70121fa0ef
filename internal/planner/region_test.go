package planner

import (
	"testing"
)

// regionPlanner returns a planner with replicas in the failure domains a (region north), b (region south) and c (unknown region).
func regionPlanner(replicas int) *Planner {
	p := newDomainPlanner(replicas)
	p.SetRegions(map[string]string{"a": "north", "b": "south"})
	return p
}

// Guards against requests with allowed regions that reach a replica outside of them, or one whose region isn't known, also as
// helper of a long prompt (incident HOME).
func TestRequestsStayInAllowedRegions(t *testing.T) {
	p := regionPlanner(30)
	for i := range 40 {
		req := shortRequest(i)
		req.AllowedRegions = []string{"north"}
		if plan := mustPlan(t, p, at(i), req); plan.Replica.FailureDomain != "a" {
			t.Fatalf("a request for north is planned for failure domain %s", plan.Replica.FailureDomain)
		}
	}
	p = regionPlanner(30)
	req := longRequest(0)
	req.AllowedRegions = []string{"north", "south"}
	plan := mustPlan(t, p, at(0), req)
	for _, h := range plan.Helpers {
		if h.Replica[0] == 'c' {
			t.Errorf("helper %s is in an unknown region", h.Replica)
		}
	}
	if len(plan.Helpers) == 0 || plan.Replica.FailureDomain == "c" {
		t.Errorf("plan %+v, want helpers in the allowed regions", plan)
	}
}

// Guards against a request that waits for a region in which no replica is, or that takes replicas of an unknown region for
// such ones: it is refused at once.
func TestRegionWithoutReplicasIsRefused(t *testing.T) {
	for _, region := range []string{"east", "c", ""} {
		p := regionPlanner(6)
		req := shortRequest(0)
		req.AllowedRegions = []string{region}
		p.Submit(at(0), req)
		results := p.Decide(at(0))
		if len(results) != 1 || results[0].Refusal == nil || results[0].Refusal.Cause != CauseNoReplica ||
			results[0].Refusal.RetryAfter <= 0 {
			t.Errorf("region %q: results %+v, want a refusal", region, results)
		}
	}
}

// Guards against a request that can't be placed in its region and that keeps others, which could be placed elsewhere, waiting.
func TestFullRegionDelaysNoOther(t *testing.T) {
	p := regionPlanner(2)
	for i := range 16 {
		req := shortRequest(i)
		req.AllowedRegions = []string{"north"}
		req.FirstTarget, req.UntilDisconnect = req.Deadline, req.Deadline
		p.Submit(at(0), req)
	}
	p.Decide(at(0))
	blocked := shortRequest(100)
	blocked.AllowedRegions = []string{"north"}
	p.Submit(at(1), blocked)
	p.Submit(at(1), shortRequest(101))
	for _, result := range p.Decide(at(1)) {
		if result.ID == "s101" && result.Plan != nil && result.Plan.Replica.FailureDomain == "b" {
			return
		}
	}
	t.Error("a request without allowed regions waits though another region has room")
}
