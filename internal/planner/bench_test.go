package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

var (
	start      = time.Unix(1000, 0)
	testEngine = passes.SampleEngine()
)

// newTestPlanner returns a planner with replicas of the service llm.
func newTestPlanner(replicas int) *Planner {
	p := New(0)
	p.SetEngines(map[string]*catalog.EngineParams{"llm": testEngine})
	var list []replica.Replica
	for i := range replicas {
		list = append(list, replica.Replica{
			ID: fmt.Sprintf("i-%02d", i), Service: "llm", Slots: 16,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8080),
		})
	}
	p.SetReplicas(start, list)
	return p
}

// shortRequest returns a typical request with a short prompt.
func shortRequest(id int) Request {
	return Request{
		ID: fmt.Sprint("s", id), Host: "h", Service: "llm", PromptTokens: 4960, OutputTokens: 3000,
		LikelyTokens: 1650, FirstTarget: 300 * time.Millisecond, PauseTarget: 250 * time.Millisecond,
		Deadline: 10 * time.Second, UntilDisconnect: 2 * time.Second, PauseTimeout: 2 * time.Second,
	}
}

// longRequest returns a typical request with a long prompt.
func longRequest(id int) Request {
	return Request{
		ID: fmt.Sprint("l", id), Host: "h", Service: "llm", PromptTokens: 154000, OutputTokens: 1600,
		LikelyTokens: 800, FirstTarget: 3 * time.Second, PauseTarget: time.Second, Deadline: 15 * time.Second,
		UntilDisconnect: 12 * time.Second, PauseTimeout: 12 * time.Second,
	}
}

// BenchmarkWave measures the decisions on the short prompts of about one second of high load, with long prompts
// waiting.
func BenchmarkWave(b *testing.B) { benchmarkWave(b, newTestPlanner) }

// BenchmarkCrossingWave is BenchmarkWave with hosts and engines in three failure domains and a price for bytes that cross.
func BenchmarkCrossingWave(b *testing.B) { benchmarkWave(b, newCrossingPlanner) }

func benchmarkWave(b *testing.B, newPlanner func(replicas int) *Planner) {
	for b.Loop() {
		p := newPlanner(16)
		now := start
		for i := range 150 {
			now = now.Add(7 * time.Millisecond)
			p.Submit(now, from(domainOf(i), shortRequest(i)))
			if i%30 == 0 {
				p.Submit(now, from(domainOf(i/30), longRequest(i)))
			}
			for _, result := range p.Decide(now) {
				p.Started(now, result.Host, result.ID)
			}
			p.Decide(now)
		}
	}
}

// BenchmarkLargeWave measures the decisions on ten seconds of a wave of long prompts on 135 engines, some of which wait
// for engines. It plays the engines by the times that the plans predict.
func BenchmarkLargeWave(b *testing.B) { benchmarkLargeWave(b, newTestPlanner) }

// BenchmarkCrossingLargeWave is BenchmarkLargeWave with hosts and engines in three failure domains and a price for bytes that
// cross.
func BenchmarkCrossingLargeWave(b *testing.B) { benchmarkLargeWave(b, newCrossingPlanner) }

func benchmarkLargeWave(b *testing.B, newPlanner func(replicas int) *Planner) {
	const (
		duration     = 10 * time.Second
		shortsPerSec = 65
		longsPerSec  = 45
	)
	for b.Loop() {
		random := rand.New(rand.NewPCG(1, 2))
		p := newPlanner(135)
		var running []runningRequest
		arrived := 0
		for now := start; now.Before(start.Add(duration)); now = now.Add(time.Second / (shortsPerSec + longsPerSec)) {
			arrived++
			req := shortRequest(arrived)
			if arrived%(shortsPerSec+longsPerSec) < longsPerSec {
				req = longRequest(arrived)
				req.PromptTokens = min(int(90000*math.Exp(0.9*random.NormFloat64())), 700000)
			}
			p.Submit(now, from(domainOf(arrived), req))
			for _, result := range p.Decide(now) {
				if result.Plan != nil {
					first := now.Add(result.Plan.FirstEventTime)
					running = append(running, runningRequest{id: result.ID, first: first, end: first.Add(time.Second)})
				}
			}
			running = slices.DeleteFunc(running, func(r runningRequest) bool { return r.report(p, now) })
		}
	}
}

// runningRequest is a placed request of a benchmark.
type runningRequest struct {
	id         string
	first, end time.Time // when its first event comes and when it ends
}

// report notifies the planner of what has happened to the request by now, and reports whether it has ended.
func (r *runningRequest) report(p *Planner, now time.Time) bool {
	if now.Before(r.first) {
		return false
	}
	p.Started(now, "h", r.id)
	if now.Before(r.end) {
		return false
	}
	p.Ended(now, "h", r.id, OutcomeCompleted)
	return true
}
