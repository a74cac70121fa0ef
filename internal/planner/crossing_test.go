package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

// The value of a request per GB in these tests, by which a typical short prompt costs less to cross than a tenth of it.
const testCrossingPrice = 1.0

// newCrossingPlanner returns a planner that distinguishes the failure domains a, b and c.
func newCrossingPlanner(replicas int) *Planner {
	p := newDomainPlanner(replicas)
	p.SetCrossingPrice(testCrossingPrice)
	return p
}

// from returns the request as one of a host in a failure domain.
func from(domain string, req Request) Request {
	req.FailureDomain = domain
	req.Bytes = 4*req.PromptTokens + 4*req.LikelyTokens
	return req
}

// domainsOf returns the failure domains of the servers that a request of newDomainPlanner uses.
func domainsOf(plan *Plan) map[string]bool {
	domains := map[string]bool{plan.Replica.FailureDomain: true}
	for _, h := range plan.Helpers {
		domains[h.Replica[:1]] = true
	}
	return domains
}

// Failure: a failure domain is lost. Long prompts that were split over all failure domains break in all of them; when engines
// are there to prefill each where its host is, only those of hosts in the lost failure domain may.
func TestLossOfDomainBreaksOnlyItsLongPrompts(t *testing.T) {
	const perDomain = 4
	breakIn := func(p *Planner) (broken, elsewhere int) {
		for i := range 3 * perDomain {
			host := string(rune('a' + i%3))
			for _, result := range submitAt(p, at(500*i), from(host, longRequest(i))) {
				p.Started(at(500*i+400), result.Host, result.ID)
				if result.Plan == nil || !domainsOf(result.Plan)["c"] {
					continue
				}
				broken++
				if host != "c" {
					elsewhere++
				}
			}
		}
		return broken, elsewhere
	}
	if broken, elsewhere := breakIn(newCrossingPlanner(54)); broken != perDomain || elsewhere != 0 {
		t.Errorf("%d long prompts break, %d of them of hosts elsewhere, want %d and none", broken, elsewhere, perDomain)
	}
	if _, elsewhere := breakIn(newDomainPlanner(54)); elsewhere == 0 {
		t.Error("without a price no prompt of another failure domain breaks, so the load shows nothing")
	}
}

// submitAt adds a request and returns what is decided at once.
func submitAt(p *Planner, now time.Time, req Request) []Result {
	p.Submit(now, req)
	return p.Decide(now)
}

// Failure: the engines of one failure domain are busy for seconds, and its long prompts wait for them although engines
// elsewhere would prefill them in time.
func TestLongPromptLeavesBusyDomain(t *testing.T) {
	p := newCrossingPlanner(12)
	for _, s := range p.services["llm"] {
		if s.replica.FailureDomain == "a" {
			s.model.AddPrefill(start, passOf(4*time.Second))
		}
	}
	plan := mustPlan(t, p, start, from("a", longRequest(0)))
	if domains := domainsOf(plan); domains["a"] || len(domains) != 1 {
		t.Errorf("the prompt depends on failure domains %v, want one other than a", domains)
	}
	if plan.FirstEventTime > longRequest(0).FirstTarget {
		t.Errorf("first event after %v", plan.FirstEventTime)
	}
}

// Failure: hosts of the previous version don't say where they are, and a host's failure domain may have no replica. Neither may
// make prompts wait or be refused.
func TestUnknownDomainHasNoPreference(t *testing.T) {
	for _, domain := range []string{"", "nowhere"} {
		t.Run(fmt.Sprintf("domain %q", domain), func(t *testing.T) {
			p := newCrossingPlanner(12)
			mustPlan(t, p, start, from(domain, shortRequest(0)))
			mustPlan(t, p, start, from(domain, longRequest(1)))
		})
	}
}

// passOf returns the prefill of a prompt that takes an engine the given time.
func passOf(d time.Duration) pass.Prefill {
	return pass.Prefill{ID: "other", Tokens: int(d.Seconds() * testEngine.PrefillRate), Time: d}
}
