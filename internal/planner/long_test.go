package planner

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

// Pattern: a burst of long prompts, more than the engines prefill before their callers leave. Those that can't be in time
// are refused when they come, with the time at which engines will be clear; they don't wait until their callers leave.
func TestBurstOfLongPromptsIsRefusedAtOnceBeyondCapacity(t *testing.T) {
	const engines, burst = 16, 150
	p := newDomainPlanner(engines)
	placed, refused := 0, 0
	for i := range burst {
		p.Submit(at(i), longRequest(i))
		for _, result := range p.Decide(at(i)) {
			if result.Plan != nil {
				placed++
				continue
			}
			refused++
			if result.Refusal.Cause != CauseNoSlot || result.Refusal.RetryAfter < time.Second {
				t.Errorf("prompt %s: refusal %+v, want that it may come back once engines are clear", result.ID, *result.Refusal)
			}
		}
	}
	req := longRequest(0)
	prefill := pass.PrefillTime(testEngine, req.PromptTokens, 1)
	capacity := int(float64(engines) * req.UntilDisconnect.Seconds() / prefill.Seconds())
	if waiting := p.Waiting(); placed+waiting > capacity || placed+waiting < capacity/2 {
		t.Errorf("%d prompts placed, %d waiting, %d refused; the engines prefill %d in time", placed, waiting, refused, capacity)
	}
}

// Pattern: on a large fleet requests end every few milliseconds. A long prompt that waits is tried again all the same, and
// placed soon after engines are clear.
func TestWaitingLongPromptIsTriedWhileSlotsAreFreed(t *testing.T) {
	const (
		engines = 4
		clearMS = 3000 // when the engines are clear
	)
	p := newDomainPlanner(engines)
	first := longRequest(0)
	first.FirstTarget = 100 * time.Millisecond // so that it takes all engines that it may
	mustPlan(t, p, at(0), first)
	p.Submit(at(1), longRequest(1))
	var results []Result
	for ms := 2; ms < 6000; ms++ {
		if ms%5 == 0 { // a short prompt that ends at once
			p.Submit(at(ms), shortRequest(ms))
			results = append(results, p.Decide(at(ms))...)
			p.Ended(at(ms), "h", shortRequest(ms).ID, OutcomeCompleted)
		}
		if ms == clearMS {
			p.Ended(at(ms), "h", first.ID, OutcomeCompleted)
		}
		results = append(results, p.Decide(at(ms))...)
		if slices.ContainsFunc(results, func(r Result) bool { return r.ID == longRequest(1).ID && r.Plan != nil }) {
			if wait := time.Duration(ms-clearMS) * time.Millisecond; wait < 0 || wait > 5*tryInterval {
				t.Errorf("placed %v after the engines were clear, want at most %v", wait, 5*tryInterval)
			}
			return
		}
	}
	t.Errorf("the long prompt was not placed in 3 s after the engines were clear; %d results", len(results))
}

// Pattern: a wave of long prompts of very different lengths, somewhat more than the engines prefill. The longest tenth is
// served at least half as often as all.
func TestLongestPromptsAreServedInWave(t *testing.T) {
	const (
		engines  = 64
		perSec   = 16
		duration = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	p := newDomainPlanner(engines)
	tokens := make(map[string]int)
	served := make(map[string]bool)
	var running []runningRequest
	for now := start; now.Before(start.Add(duration + 15*time.Second)); now = now.Add(tryInterval) {
		i := int(now.Sub(start) / tryInterval)
		if now.Before(start.Add(duration)) && i%(int(time.Second/tryInterval)/perSec) == 0 {
			req := longRequest(i)
			req.PromptTokens = min(int(190000*math.Exp(0.55*random.NormFloat64())), 700000)
			tokens[req.ID] = req.PromptTokens
			p.Submit(now, req)
		}
		for _, result := range p.Decide(now) {
			if result.Plan == nil {
				continue
			}
			served[result.ID] = true
			first := now.Add(result.Plan.FirstEventTime)
			running = append(running, runningRequest{id: result.ID, first: first, end: first.Add(1500 * time.Millisecond)})
		}
		running = slices.DeleteFunc(running, func(r runningRequest) bool { return r.report(p, now) })
	}
	ids := slices.SortedFunc(maps.Keys(tokens), func(a, b string) int { return cmp.Compare(tokens[b], tokens[a]) })
	longest := 0
	for _, id := range ids[:len(ids)/10] {
		if served[id] {
			longest++
		}
	}
	all := float64(len(served)) / float64(len(ids))
	if share := float64(longest) / float64(len(ids)/10); share < all/2 || all < 0.5 {
		t.Errorf("%.2f of the longest tenth are served, %.2f of all", share, all)
	}
	t.Logf("%.2f of all are served", all)
}

// A refusal breaks off a response that has begun: a resumed request is not refused because engines are late.
func TestResumedLongPromptIsNotRefusedSoon(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		p := newDomainPlanner(4)
		for i := range 150 {
			p.Submit(at(i), longRequest(i))
		}
		p.Decide(at(150))
		req := longRequest(200)
		req.UntilDisconnect = 5 * time.Second
		req.Resumed = resumed
		p.Submit(at(151), req)
		refused := slices.ContainsFunc(p.Decide(at(151)), func(r Result) bool { return r.ID == req.ID && r.Refusal != nil })
		if refused == resumed {
			t.Errorf("resumed %v: refused %v", resumed, refused)
		}
	}
}
