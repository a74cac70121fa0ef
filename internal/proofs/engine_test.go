//go:build proofs

package proofs

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/caller"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// A prompt may crash this many engines until it is refused for good: two, and one at a host that has not heard yet.
const maxCrashes = 3

func (c *cluster) putHosts(list []platformapi.Host) {
	c.t.Helper()
	c.send(http.MethodPut, "http://"+c.platformAt.String()+"/v1/hosts", platformapi.Hosts{Hosts: list})
}

// TestEngineFaults breaks one of two engines of a failure domain under load.
func TestEngineFaults(t *testing.T) {
	tests := []struct {
		name   string
		inject func(c *cluster, e *engineHost)
		mend   func(c *cluster, e *engineHost)
	}{
		{"killed", func(_ *cluster, e *engineHost) { e.kill() }, func(_ *cluster, e *engineHost) { e.start() }},
		{"stopped", func(_ *cluster, e *engineHost) { e.signal(syscall.SIGSTOP) }, func(_ *cluster, e *engineHost) {
			e.signal(syscall.SIGCONT)
		}},
		{"connections go silent", func(c *cluster, e *engineHost) {
			c.t.Logf("%d connections made silent", e.relay.Silence())
		}, func(*cluster, *engineHost) {}},
		{"answers late, crossed", func(c *cluster, e *engineHost) {
			c.engineFaults(e, engineapi.Faults{LateMS: 300, CrossAnswers: true})
		}, func(c *cluster, e *engineHost) { c.engineFaults(e, engineapi.Faults{}) }},
		{"answers without an end, releases lost", func(c *cluster, e *engineHost) {
			c.engineFaults(e, engineapi.Faults{DropEndMarker: true, LoseReleases: 20})
		}, func(c *cluster, e *engineHost) { c.engineFaults(e, engineapi.Faults{}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := start(t, 2)
			w := prompts(t, 12, 2_000, 1_000, c.urls(c.entries...))
			time.Sleep(2 * time.Second)
			tt.inject(c, c.engines[0])
			time.Sleep(5 * time.Second)
			tt.mend(c, c.engines[0])
			time.Sleep(3 * time.Second)
			judge(t, w.finish())
			t.Logf("memory free after %v", c.awaitNoMemory(40*time.Second))
		})
	}
}

// TestSilenceWithoutBound makes connections silent at hosts that wait for frames without a bound; requests must miss
// their deadlines then, or TestEngineFaults shows nothing about silence.
func TestSilenceWithoutBound(t *testing.T) {
	c := startWith(t, 2, map[string]string{"frame_gap": "10m"})
	w := prompts(t, 12, 2_000, 1_000, c.urls(c.entries...))
	time.Sleep(2 * time.Second)
	for _, e := range c.engines {
		t.Logf("%d connections made silent", e.relay.Silence())
	}
	late := 0
	answers := w.finish()
	for _, a := range answers {
		if a.Outcome != outcome.Completed {
			late++
		}
	}
	t.Logf("%d of %d requests were not completed without a bound on silence", late, len(answers))
	if late == 0 {
		t.Error("all requests were completed without a bound on silence")
	}
}

// TestLongPromptLosesMember kills an engine while a prompt larger than one engine's memory runs over two.
func TestLongPromptLosesMember(t *testing.T) {
	c := start(t, 2)
	w := &work{client: &caller.Caller{}}
	done := make(chan caller.Result)
	go func() {
		done <- w.send(&caller.Prompt{
			Entry: c.entries[0].url(), Workspace: workspace, Model: "tender-1", Deadline: deadline, Text: "digest",
			PromptTokens: 600_000, OutputTokens: 4_000, Stream: true,
		})
	}()
	time.Sleep(1500 * time.Millisecond)
	victim := c.engines[0]
	for _, e := range c.engines {
		var held engineapi.Allocations
		if get(e.direct, "/v1/allocations", &held) == nil && len(held.Allocations) > 0 {
			victim = e
		}
	}
	victim.kill()
	r := <-done
	t.Logf("%s %s after %v: %s", r.Outcome, r.Kind, r.Total, r.Body)
	if r.Fault != "" || r.Total > deadline+deadlineSlip {
		t.Errorf("%s after %v", r.Fault, r.Total)
	}
	if r.Kind == outcome.KindTooLong {
		t.Error("a prompt that fits while all engines run was told to be too long for good")
	}
	victim.start()
	t.Logf("memory free after %v", c.awaitNoMemory(40*time.Second))
}

// TestCrashingPrompt sends a prompt that crashes each engine that runs it again and again, beside others.
func TestCrashingPrompt(t *testing.T) {
	tests := []struct {
		name    string
		restart time.Duration // from a crash until the engine is started again
	}{
		{"engines back after 2 s", 2 * time.Second},
		{"engines back at once", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := start(t, 2)
			crashes := c.superviseEngines(tt.restart, engineapi.Faults{CrashOn: "poison"})
			w := prompts(t, 8, 2_000, 500, c.urls(c.entries...))
			time.Sleep(time.Second)
			last := c.sendPoison(crashes)
			answers := w.finish()
			judge(t, answers)
			refused := 0
			for _, a := range answers {
				if a.Kind == outcome.KindCrashing {
					refused++
				}
			}
			t.Logf("%d crashes, %d bystanders refused as crashing", crashes.Load(), refused)
			if refused > 0 || crashes.Load() > maxCrashes {
				t.Errorf("%d crashes, %d bystanders refused as crashing", crashes.Load(), refused)
			}
			if last.Kind != outcome.KindCrashing {
				t.Errorf("the last answer is %s %s", last.Outcome, last.Kind)
			}
		})
	}
}

// superviseEngines sets faults at all engines, starts them again when they end, and counts that.
func (c *cluster) superviseEngines(restart time.Duration, f engineapi.Faults) *atomic.Int64 {
	var crashes atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	for _, e := range c.engines {
		c.engineFaults(e, f)
		watching.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-e.done:
				}
				crashes.Add(1)
				time.Sleep(restart)
				e.start()
				c.await(startTime, e.name, func() bool { return get(e.direct, "/healthz", nil) == nil })
				c.engineFaults(e, f)
			}
		})
	}
	c.t.Cleanup(func() {
		cancel()
		watching.Wait()
	})
	return &crashes
}

// sendPoison sends the crashing prompt through all entry hosts in turn and returns the last answer.
func (c *cluster) sendPoison(crashes *atomic.Int64) caller.Result {
	w := &work{client: &caller.Caller{}}
	var last caller.Result
	for i := range 6 {
		last = w.send(&caller.Prompt{
			Entry: c.entries[i%len(c.entries)].url(), Workspace: workspace, Model: "tender-1", Deadline: deadline,
			Text: "poison", PromptTokens: 2_000, OutputTokens: 500,
		})
		c.t.Logf("sent %d: %s %s after %v, %d crashes", i+1, last.Outcome, last.Kind, last.Total, crashes.Load())
		if last.Fault != "" || last.Outcome == outcome.Completed {
			c.t.Errorf("the crashing prompt was told %s %s", last.Outcome, last.Fault)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}
