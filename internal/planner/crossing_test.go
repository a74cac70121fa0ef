package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/replica"
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

// domainOf returns one of three failure domains by a number.
func domainOf(i int) string { return string(rune('a' + i%3)) }

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
			host := domainOf(i)
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

// Failure: another host becomes planner just after a failure domain has sent requests to another one, and sends load the
// other way. What hosts report of their placements must tell it the direction.
func TestNewPlannerKeepsDirection(t *testing.T) {
	busy := func(report bool) string {
		p := newCrossingPlanner(12)
		if report {
			p.Restore(start, Placement{Request: from("a", shortRequest(0)), Replica: "b-01", Decoding: true})
		}
		for _, s := range p.services["llm"] {
			if s.replica.FailureDomain == "b" {
				s.model.AddPrefill(start, passOf(340*time.Millisecond))
			}
			if s.replica.FailureDomain == "c" {
				s.refusedUntil = at(1000)
			}
		}
		req := from("b", shortRequest(1))
		req.FirstTarget = 385 * time.Millisecond
		return mustPlan(t, p, start, req).Replica.FailureDomain
	}
	if domain := busy(false); domain != "a" {
		t.Errorf("the request goes to %s without a report, so the load shows nothing", domain)
	}
	if domain := busy(true); domain != "b" {
		t.Errorf("the request goes from b to %s although the failure domain has just sent one to b", domain)
	}
}

// Failure: bytes or round trips that cost more than waiting in the host's own failure domain are ignored.
func TestBytesAndDelayCountAgainstCrossing(t *testing.T) {
	tests := []struct {
		name   string
		change func(req *Request)
		want   string // failure domain
	}{
		{"near and small", func(*Request) {}, "a"},
		{"many bytes", func(req *Request) { req.Bytes = 2e9 }, "b"},
		{"long round trips", func(req *Request) { req.CrossingDelay = 400 * time.Millisecond }, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newCrossingPlanner(12)
			for _, s := range p.services["llm"] {
				switch s.replica.FailureDomain {
				case "b":
					s.model.AddPrefill(start, passOf(340*time.Millisecond))
				case "c":
					s.refusedUntil = at(1000)
				}
			}
			req := from("b", shortRequest(1))
			req.FirstTarget = 385 * time.Millisecond
			tt.change(&req)
			if domain := mustPlan(t, p, start, req).Replica.FailureDomain; domain != tt.want {
				t.Errorf("the request goes to %s, want %s", domain, tt.want)
			}
		})
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
	for order := range uint64(4) { // by which engines that are equally good are taken
		p := newOrderedPlanner(order, 12)
		p.SetCrossingPrice(testCrossingPrice)
		for _, s := range p.services["llm"] {
			if s.replica.FailureDomain == "a" {
				s.model.AddPrefill(start, passOf(4*time.Second))
			}
		}
		req := from("a", longRequest(0))
		req.FirstTarget = 1200 * time.Millisecond // which takes most engines of a failure domain
		plan := mustPlan(t, p, start, req)
		if domains := domainsOf(plan); domains["a"] || len(domains) != 1 {
			t.Errorf("order %d: the prompt depends on failure domains %v, want one other than a", order, domains)
		}
		if plan.FirstEventTime > req.FirstTarget {
			t.Errorf("order %d: first event after %v", order, plan.FirstEventTime)
		}
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

// Failure: a failure domain comes back with cold servers while the others are full, and gets all that waits there at once. What it
// gets must rise evenly from nothing within rampTime.
func TestReturningDomainIsNotRushed(t *testing.T) {
	const (
		replicas = 12
		lostMS   = 1000
		backMS   = 4000
	)
	p := newCrossingPlanner(replicas)
	all := make([]replica.Replica, 0, replicas)
	for _, s := range p.sortedServers["llm"] {
		all = append(all, s.replica)
	}
	placed := 0
	for ms := 0; ms < backMS+int(rampTime.Milliseconds()); ms += 5 {
		switch ms {
		case lostMS:
			p.SetReplicas(at(ms), slices.DeleteFunc(slices.Clone(all), func(r replica.Replica) bool { return r.FailureDomain == "c" }))
		case backMS:
			p.SetReplicas(at(ms), all)
		}
		for _, result := range submitAt(p, at(ms), from(domainOf(ms/5), shortRequest(ms))) {
			p.Started(at(ms), result.Host, result.ID)
			if result.Plan == nil || result.Plan.Replica.FailureDomain != "c" || ms < backMS {
				continue
			}
			placed++
			share := float64(at(ms).Sub(at(backMS))) / float64(rampTime)
			if most := 16 * replicas / 3 * share * share; float64(placed) > most+2 {
				t.Fatalf("%d requests placed %d ms after the failure domain came back, want at most %.1f", placed, ms-backMS, most)
			}
		}
	}
	if placed < 16*replicas/3/2 {
		t.Errorf("%d requests placed in %v, want half of the slots at least", placed, rampTime)
	}
}

// Failure: while only requests with allowed regions come, the failure domains of other regions count as absent, and get few
// requests for the time of a ramp after it.
func TestAllowedRegionsShowNoAbsence(t *testing.T) {
	p := newCrossingPlanner(12)
	p.SetRegions(map[string]string{"a": "north", "b": "south", "c": "south"})
	submitAt(p, at(0), from("a", shortRequest(0)))
	for ms := 100; ms < 3000; ms += 100 {
		req := from("a", shortRequest(ms))
		req.AllowedRegions = []string{"north"}
		submitAt(p, at(ms), req)
	}
	submitAt(p, at(3000), from("c", shortRequest(3000)))
	if p.domainStates["llm"]["c"].ramping(at(3000)) {
		t.Error("a failure domain counts as absent for which no request came")
	}
}

// Failure: calls of a plain service, whose replicas take them in milliseconds, go to all failure domains alike. They stay in that
// of their host until much more of its slots is taken than elsewhere, and then leave it in part.
func TestPlainCallsStayUntilSlotsAreShort(t *testing.T) {
	p := New(0)
	p.SetCrossingPrice(testCrossingPrice)
	var list []replica.Replica
	for _, domain := range []string{"a", "b", "c"} {
		list = append(list, replica.Replica{ID: domain, Service: "desk", Slots: 6, FailureDomain: domain})
	}
	p.SetReplicas(start, list)
	count := make(map[string]int)
	for i := range 12 {
		req := Request{ID: fmt.Sprint(i), Host: "h", Service: "desk", FirstTarget: time.Second, Deadline: time.Second, FailureDomain: "b"}
		count[mustPlan(t, p, at(i), req).Replica.ID]++
		if i == 2 && count["b"] != 3 {
			t.Errorf("of the first calls %v went to the failure domains, want all in b", count)
		}
	}
	if count["b"] != 6 || count["a"] != 3 || count["c"] != 3 {
		t.Errorf("calls by failure domain %v, want 6 in b and 3 in each other one", count)
	}
}

// Failure: the servers of one failure domain are slow without a sign but late first events, and keep its requests.
func TestSlowServersLoseRequests(t *testing.T) {
	p := newCrossingPlanner(12)
	now := start
	crossed := 0
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		host := domainOf(i)
		req := from(host, shortRequest(i))
		req.FirstTarget = 100 * time.Millisecond
		plan := mustPlan(t, p, now, req)
		first := plan.FirstEventTime
		if plan.Replica.FailureDomain == "c" {
			first = first * 7 / 2
		}
		p.Started(now.Add(first), "h", shortRequest(i).ID)
		p.Ended(now.Add(first), "h", shortRequest(i).ID, OutcomeCompleted)
		if i >= 300 && host == "c" && plan.Replica.FailureDomain != "c" {
			crossed++
		}
	}
	if crossed < 20 {
		t.Errorf("%d of the last 33 requests of the slow failure domain leave it", crossed)
	}
}
