package planner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newDomainPlanner returns a planner with replicas spread over the failure domains a, b and c.
func newDomainPlanner(replicas int) *Planner { return newOrderedPlanner(0, replicas) }

// newOrderedPlanner returns a planner like newDomainPlanner with the given order.
func newOrderedPlanner(order uint64, replicas int) *Planner {
	p := New(order)
	p.SetEngines(map[string]*catalog.EngineParams{"llm": testEngine})
	var list []replica.Replica
	for i := range replicas {
		domain := string(rune('a' + i%3))
		list = append(list, replica.Replica{
			ID: fmt.Sprintf("%s-%02d", domain, i), Service: "llm", Slots: 16, FailureDomain: domain,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 3), 1, byte(i)}), 8080),
		})
	}
	p.SetReplicas(start, list)
	return p
}

// mustPlan adds a request and returns its plan, which Decide must return at once.
func mustPlan(t *testing.T, p *Planner, now time.Time, req Request) *Plan {
	t.Helper()
	p.Submit(now, req)
	for _, result := range p.Decide(now) {
		if result.ID == req.ID && result.Plan != nil {
			return result.Plan
		}
	}
	t.Fatalf("no plan for %s", req.ID)
	return nil
}

func TestShortPromptsAvoidEnginesWithLongPrefill(t *testing.T) {
	p := newDomainPlanner(16)
	long := mustPlan(t, p, at(0), longRequest(0))
	busy := map[string]bool{long.Replica.ID: true}
	for _, h := range long.Helpers {
		busy[h.Replica] = true
	}
	if len(long.Helpers) == 0 {
		t.Error("a prompt of 154,000 tokens is prefilled by one engine")
	}
	for i := range 12 {
		plan := mustPlan(t, p, at(20*i), shortRequest(i))
		if busy[plan.Replica.ID] {
			t.Errorf("short prompt %d goes to %s, which prefills a long one", i, plan.Replica.ID)
		}
		if plan.FirstEventTime > 300*time.Millisecond || plan.PassTime > 250*time.Millisecond {
			t.Errorf("short prompt %d: first event after %v, pass of %v", i, plan.FirstEventTime, plan.PassTime)
		}
	}
}

func TestPromptOverOneEnginesMemoryReservesAtHelpers(t *testing.T) {
	p := newDomainPlanner(16)
	req := longRequest(0)
	req.PromptTokens = 500000
	plan := mustPlan(t, p, at(0), req)
	reserved := 0
	for _, h := range plan.Helpers {
		reserved += h.ReservedTokens
	}
	if missing := req.PromptTokens + req.OutputTokens - testEngine.MemoryTokens; reserved < missing {
		t.Errorf("%d tokens reserved at other engines, want %d or more", reserved, missing)
	}
	p.Ended(at(9000), "h", req.ID, OutcomeCompleted)
	for _, s := range p.services["llm"] {
		if s.usedTokens != 0 || s.helperJobs != 0 || len(s.jobs) != 0 {
			t.Errorf("%s still counts %d tokens, %d parts and %d requests",
				s.replica.ID, s.usedTokens, s.helperJobs, len(s.jobs))
		}
	}
}

// An engine allocates memory in blocks, of which the last one of each request is partly unused. A prompt over one
// engine's memory must not be placed so that it fits an idle engine to the token: each engine would refuse it.
func TestSplitPromptFitsEnginesThatAllocateBlocks(t *testing.T) {
	const blockTokens = 64
	p := newDomainPlanner(16)
	req := longRequest(0)
	req.PromptTokens = testEngine.MemoryTokens + 10386
	plan := mustPlan(t, p, at(0), req)
	reserved := 0
	for _, h := range plan.Helpers {
		reserved += h.ReservedTokens
	}
	rest := req.PromptTokens + req.OutputTokens - reserved
	blocks := (rest + blockTokens - 1) / blockTokens
	if free := testEngine.MemoryTokens / blockTokens; blocks >= free {
		t.Errorf("the request takes %d blocks at the primary replica, which has %d", blocks, free)
	}
}

func TestPromptOverAllMemoryIsRefusedAtOnce(t *testing.T) {
	p := newDomainPlanner(2)
	req := longRequest(0)
	req.PromptTokens = 700000
	p.Submit(at(0), req)
	results := p.Decide(at(0))
	if len(results) != 1 || results[0].Refusal == nil || results[0].Refusal.Cause != CauseTooLarge {
		t.Errorf("results %+v", results)
	}
}

// A prompt needs three replicas, and one of three has gone from its address. Guards against telling the caller that the prompt is
// too large for good, and against a replica that is excluded for one host only, or as primary only.
func TestPromptThatLacksReplicaIsWorthRetry(t *testing.T) {
	p := newDomainPlanner(3)
	req := longRequest(0)
	req.PromptTokens = 2*testEngine.MemoryTokens + 50000
	req.FirstTarget, req.Deadline, req.UntilDisconnect, req.PauseTimeout = 20*time.Second, time.Minute, time.Minute, time.Minute
	gone := p.sortedServers[req.Service][0].replica
	p.Misdirected(at(0), "h9", replica.Location{ID: gone.ID, Address: netip.MustParseAddrPort("10.9.9.9:80")})
	mustPlan(t, p, at(0), req) // its address is another one
	p.RemoveHost(at(0), req.Host)
	p.Misdirected(at(0), "h9", gone.Location())
	p.Submit(at(1), req)
	results := p.Decide(at(1))
	if len(results) != 1 || results[0].Refusal == nil || results[0].Refusal.RetryAfter > noReplicaRetryAfter {
		t.Errorf("results %+v, want a refusal with Retry-After up to %v", results, noReplicaRetryAfter)
	}
	p.Submit(at(5000), req)
	if results := p.Decide(at(5000)); len(results) != 1 || results[0].Plan == nil {
		t.Errorf("results %+v once the replica counts again, want a plan", results)
	}
}

func TestFullServiceRefusesWhatCantBeServedInTime(t *testing.T) {
	p := newDomainPlanner(1)
	for i := range 16 {
		mustPlan(t, p, at(0), shortRequest(i))
	}
	late := shortRequest(99)
	late.Deadline = 120 * time.Millisecond
	p.Submit(at(1), late)
	results := p.Decide(at(1))
	if len(results) != 1 || results[0].Refusal == nil || results[0].Refusal.Cause != CauseNoSlot {
		t.Fatalf("results %+v", results)
	}
	if results[0].Refusal.RetryAfter < late.Deadline {
		t.Errorf("retry after %v, but no slot is free then", results[0].Refusal.RetryAfter)
	}
	waiting := shortRequest(100)
	p.Submit(at(2), waiting)
	if results := p.Decide(at(2)); len(results) != 0 {
		t.Errorf("a request with time left has a result: %+v", results)
	}
	p.Ended(at(500), "h", "s3", OutcomeCompleted)
	if results := p.Decide(at(500)); len(results) != 1 || results[0].Plan == nil {
		t.Errorf("results after a slot became free: %+v", results)
	}
}

func TestRequestThatCrashesReplicasIsRefusedForAllHosts(t *testing.T) {
	p := newDomainPlanner(16)
	for i := range 3 {
		req := shortRequest(i)
		req.Host = fmt.Sprint("h", i)
		req.Fingerprint = 17
		mustPlan(t, p, at(100*i), req)
		p.Ended(at(100*i+50), req.Host, req.ID, OutcomeBroken)
	}
	req := shortRequest(50)
	req.Host = "another"
	req.Fingerprint = 17
	p.Submit(at(1000), req)
	if results := p.Decide(at(1000)); len(results) != 1 || results[0].Refusal == nil ||
		results[0].Refusal.Cause != CauseCrashes {
		t.Errorf("results %+v", results)
	}
	mustPlan(t, p, at(1000), shortRequest(51))
}

func TestNewPlannerRestoresPlacements(t *testing.T) {
	p := newDomainPlanner(2)
	for i := range 16 {
		req := shortRequest(i)
		p.Restore(at(0), Placement{Request: req, Replica: "a-00", Decoding: true})
	}
	for i := 20; i < 30; i++ {
		if plan := mustPlan(t, p, at(1), shortRequest(i)); plan.Replica.ID != "b-01" {
			t.Errorf("request %d goes to the replica that was full", i)
		}
	}
	p.RemoveHost(at(2), "h")
	if n := len(p.services["llm"]["a-00"].jobs); n != 0 {
		t.Errorf("%d requests of a failed host remain", n)
	}
}

// When two replicas of a failure domain can't be reached, the planner must not try the others there one by one.
func TestUnreachableDomainIsNotUsed(t *testing.T) {
	p := newDomainPlanner(15)
	for i, id := range []string{"c-02", "c-05"} {
		req := shortRequest(i)
		p.Restore(at(10*i), Placement{Request: req, Replica: id})
		p.Ended(at(10*i+400), "h", req.ID, OutcomeUnreachable)
	}
	for i := 10; i < 60; i++ {
		if plan := mustPlan(t, p, at(430), shortRequest(i)); plan.Replica.FailureDomain == "c" {
			t.Fatalf("request %d goes to %s", i, plan.Replica.ID)
		}
	}
}

// When two replicas of a failure domain can't be reached, a third one that has just responded must stay in use.
func TestLostReplicasLeaveLiveReplicaOfDomainInUse(t *testing.T) {
	p := newDomainPlanner(15)
	p.Restore(at(0), Placement{Request: shortRequest(0), Replica: "c-08"})
	p.Started(at(350), "h", "s0")
	for i, id := range []string{"c-02", "c-05"} {
		p.Restore(at(10*i), Placement{Request: shortRequest(i + 1), Replica: id})
		p.Ended(at(10*i+400), "h", fmt.Sprint("s", i+1), OutcomeUnreachable)
	}
	if s := p.services["llm"]["c-08"]; !s.usable(at(430), "h") {
		t.Error("a replica that has just responded is excluded")
	}
}

func TestBrokenSplitPromptCountsAgainstHelpers(t *testing.T) {
	p := newDomainPlanner(15)
	req := longRequest(0)
	plan := mustPlan(t, p, at(0), req)
	p.Ended(at(1500), "h", req.ID, OutcomeBroken)
	for _, h := range plan.Helpers {
		if share := p.services["llm"][h.Replica].failureRate(at(1500)); share == 0 {
			t.Errorf("no failure counted against helper %s", h.Replica)
		}
	}
}

func TestExtraWaitOnlyForLongPasses(t *testing.T) {
	p := newDomainPlanner(3)
	short := shortRequest(0)
	plan := mustPlan(t, p, at(0), short)
	p.Started(at(60), "h", short.ID)
	if wait := p.ExtraWait(at(1200), "h", short.ID); wait != 0 {
		t.Errorf("extra wait of %v for a stream beside which nothing is prefilled", wait)
	}
	p.Restore(at(1200), Placement{Request: longRequest(1), Replica: plan.Replica.ID})
	if wait := p.ExtraWait(at(1300), "h", short.ID); wait < time.Second {
		t.Errorf("extra wait of only %v while a prompt of three seconds is prefilled", wait)
	}
	other := shortRequest(2)
	p.Restore(at(6000), Placement{Request: other, Replica: plan.Replica.ID})
	p.Started(at(6050), "h", other.ID)
	if wait := p.ExtraWait(at(6100), "h", short.ID); wait == 0 {
		t.Error("no extra wait for a server that has just sent an event")
	}
}

// However long the prompts in progress, some engine must stay free for short prompts that arrive later.
func TestLongPromptsLeaveEnginesForShortOnes(t *testing.T) {
	for _, test := range []struct{ replicas, before int }{
		{5, 40}, {16, 40}, {54, 40}, {5, 0}, {16, 0}, {5, 1}, {16, 1},
	} {
		replicas := test.replicas
		p := newDomainPlanner(replicas)
		for i := range test.before {
			req := shortRequest(i)
			mustPlan(t, p, at(50*i), req)
			p.Started(at(50*i+40), "h", req.ID)
			p.Ended(at(50*i+45), "h", req.ID, OutcomeCompleted)
		}
		for i := range 3 {
			huge := longRequest(100 + i)
			huge.PromptTokens = 330000
			p.Submit(at(8000), huge)
		}
		for ms := 8000; ms < 8100; ms += 20 {
			p.Decide(at(ms))
		}
		p.Submit(at(8100), shortRequest(200))
		var plan *Plan
		for _, result := range p.Decide(at(8100)) {
			plan = result.Plan
		}
		if plan == nil || plan.FirstEventTime > 300*time.Millisecond {
			t.Errorf("%d replicas, %d short prompts before: short prompt beside long ones gets %+v",
				replicas, test.before, plan)
		}
	}
}

// While all but a few engines are busy with prefill for most of a second, a prompt that the few would prefill too late
// for its target must wait for more engines.
func TestLongPromptWaitsForEnginesThatMeetItsTarget(t *testing.T) {
	p := newDomainPlanner(16)
	const busy = 13
	for i, s := range p.sortedServers["llm"][:busy] {
		req := longRequest(i)
		req.PromptTokens = 60000
		p.Restore(at(0), Placement{Request: req, Replica: s.replica.ID})
	}
	long := longRequest(99)
	long.PromptTokens = 250000
	p.Submit(at(1), long)
	for ms := 1; ms < 3000; ms += 10 {
		for _, s := range p.sortedServers["llm"][:busy] {
			if len(s.jobs) > 0 && s.model.Forecast(at(ms)).QueuedOwn == 0 {
				p.Started(at(ms), "h", s.jobs[0].key.id)
				p.Ended(at(ms), "h", s.jobs[0].key.id, OutcomeCompleted)
			}
		}
		for _, result := range p.Decide(at(ms)) {
			if result.Plan == nil {
				t.Fatalf("refused after %d ms", ms)
			}
			if first := at(ms).Add(result.Plan.FirstEventTime).Sub(at(1)); first > long.FirstTarget {
				t.Errorf("placed after %d ms, first event %v after its target", ms, first-long.FirstTarget)
			}
			return
		}
	}
	t.Error("never placed")
}

// Guards against a false lag: a restored placement has no prediction from the planner that made it, so it is overdue
// only after the prediction that the new planner makes.
func TestRestoredRequestIsNotOverdue(t *testing.T) {
	p := newDomainPlanner(1)
	s := p.sortedServers["llm"][0]
	p.Restore(at(0), Placement{Request: longRequest(0), Replica: s.replica.ID})
	if lag := s.lag(at(500)); lag != 0 {
		t.Errorf("lag of %v while a prompt of seconds is prefilled", lag)
	}
	if lag := s.lag(at(20000)); lag == 0 {
		t.Error("no lag long after the end of the predicted prefill")
	}
}

// A prompt that can't be prefilled within its caller's timeout must not take any engine's time. If no number of engines
// could do it, the prompt must be refused at once.
func TestPromptThatCantMeetCallerTimeoutIsNotPlaced(t *testing.T) {
	tests := []struct {
		name     string
		engines  int
		busy     int // engines that prefill another prompt for seconds
		deadline time.Duration
		refused  bool
	}{
		{"one engine", 1, 0, 5 * time.Second, true},
		{"all but one busy", 8, 7, 5 * time.Second, false},
		{"too short for all together", 8, 0, 300 * time.Millisecond, true},
	}
	for _, tt := range tests {
		p := newDomainPlanner(tt.engines)
		for i, s := range p.sortedServers["llm"][:tt.busy] {
			p.Restore(at(0), Placement{Request: longRequest(i), Replica: s.replica.ID})
		}
		req := longRequest(99)
		req.PromptTokens, req.Deadline, req.UntilDisconnect = 250000, tt.deadline, tt.deadline
		p.Submit(at(1), req)
		results := p.Decide(at(1))
		if refused := len(results) == 1 && results[0].Refusal != nil; refused != tt.refused ||
			len(results) > 0 && results[0].Plan != nil {
			t.Errorf("%s: results %+v", tt.name, results)
		}
	}
}

// Of two engines with a decoding request that has missed its target, a long prompt must go to the one whose request has
// more time until its deadline.
func TestLongPrefillAvoidsDecodingRequestsNearDeadline(t *testing.T) {
	p := newDomainPlanner(2)
	for i, deadline := range []time.Duration{1500 * time.Millisecond, 10 * time.Second} {
		req := shortRequest(i)
		req.Deadline, req.LikelyTokens = deadline, 21*testEngine.EventTokens
		p.Restore(at(0), Placement{Request: req, Replica: p.sortedServers["llm"][i].replica.ID, Decoding: true})
		p.jobs[jobKey{"h", req.ID}].missesTarget = true
	}
	long := longRequest(9)
	long.PromptTokens = 60000
	plan := mustPlan(t, p, at(100), long)
	if want := p.sortedServers["llm"][1].replica.ID; plan.Replica.ID != want || len(plan.Helpers) > 0 {
		t.Errorf("prefilled by %s and %v, want %s alone", plan.Replica.ID, plan.Helpers, want)
	}
}

// Short prompts that are prefilled in one pass get their first events together, at the end of that pass.
func TestFirstEventsMoveWithLaterPrefill(t *testing.T) {
	p := newDomainPlanner(1)
	s := p.sortedServers["llm"][0]
	p.Restore(at(0), Placement{Request: shortRequest(0), Replica: s.replica.ID, Decoding: true})
	for i := range 5 {
		mustPlan(t, p, at(10), shortRequest(i+1))
	}
	last := p.jobs[jobKey{"h", shortRequest(5).ID}].firstEvent
	for i := range 5 {
		if first := p.jobs[jobKey{"h", shortRequest(i + 1).ID}].firstEvent; first.Sub(last).Abs() > time.Millisecond {
			t.Errorf("first event of prompt %d is predicted %v before the last one of its pass", i, last.Sub(first))
		}
	}
}

// High load of short prompts for one service must not keep a long prompt from the idle engines of another service.
func TestShortPromptLoadIsCountedPerService(t *testing.T) {
	plan := func(loaded bool) *Plan {
		p := newDomainPlanner(8)
		for i := range 200 {
			if req := shortRequest(i); loaded {
				req.Service = "other"
				p.Submit(at(5*i), req)
				p.Decide(at(5 * i))
			}
		}
		return mustPlan(t, p, at(1000), longRequest(0))
	}
	if alone, withLoad := plan(false), plan(true); len(alone.Helpers) != len(withLoad.Helpers) {
		t.Errorf("%d helpers without load, %d with load on another service", len(alone.Helpers), len(withLoad.Helpers))
	}
}

// A short prompt that no slot can serve within its caller's timeout must not block the slots for requests behind it.
func TestRequestWithoutTimeDoesNotBlockOthers(t *testing.T) {
	p := newDomainPlanner(2)
	for i, s := range p.sortedServers["llm"] {
		p.Restore(at(0), Placement{Request: shortRequest(i), Replica: s.replica.ID, Decoding: true})
	}
	urgent := shortRequest(10)
	urgent.FirstTarget, urgent.Deadline = 200*time.Millisecond, 60*time.Millisecond
	p.Submit(at(1), urgent)
	p.Submit(at(1), shortRequest(11))
	for _, result := range p.Decide(at(1)) {
		if result.ID == shortRequest(11).ID && result.Plan != nil {
			return
		}
	}
	t.Error("the request behind it got no plan")
}

// A replica that asks one host for a pause counts as having no free place for any host, and is tried again later.
func TestPausedReplicaGetsNoRequests(t *testing.T) {
	p := newDomainPlanner(2)
	first := mustPlan(t, p, at(0), shortRequest(0))
	p.Pause(at(10), "h", "s0", Pause{Length: time.Minute})
	p.Ended(at(10), "h", "s0", OutcomeRefused)
	for i := 1; i <= 5; i++ {
		if plan := mustPlan(t, p, at(10+i), shortRequest(i)); plan.Replica.ID == first.Replica.ID {
			t.Errorf("request %d goes to the replica that asked for a pause", i)
		}
	}
	if s := p.services["llm"][first.Replica.ID]; s.usable(at(900), "h") || !s.usable(at(10).Add(maxCommonPause), "h") {
		t.Errorf("the replica isn't tried again after %v", maxCommonPause)
	}
}

// Many hosts place requests alone, since their planner doesn't reply: they don't all choose the same replica.
func TestHostsThatPlaceAloneSpreadTheirRequests(t *testing.T) {
	const hosts, replicas = 200, 20
	placed := make(map[string]int)
	for host := range hosts {
		p := newOrderedPlanner(uint64(host), replicas)
		placed[mustPlan(t, p, at(0), shortRequest(host)).Replica.ID]++
	}
	for id, n := range placed {
		if n > 3*hosts/replicas {
			t.Errorf("%d of %d requests went to %s, one of %d equal replicas", n, hosts, id, replicas)
		}
	}
}
