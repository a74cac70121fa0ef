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

// maxCrashes is how many engines a prompt may crash before it is refused permanently: two, and one more through an
// entry host that has not yet received the report of the earlier crashes.
const maxCrashes = 3

// putHosts replaces the platform's host list.
func (c *cluster) putHosts(list []platformapi.Host) {
	c.t.Helper()
	c.send(http.MethodPut, "http://"+c.platformAddr.String()+"/v1/hosts", platformapi.Hosts{Hosts: list})
}

// TestEngineFaults guards against requests that miss their deadline, and callers that get a wrong or incomplete
// response as if it were complete, when an engine fails under load. For 5 s, one of the two engines of a failure domain
// is killed or stopped, has silent connections, or sends faulty streams. Afterwards no engine may still hold memory.
func TestEngineFaults(t *testing.T) {
	tests := []struct {
		name    string
		inject  func(c *cluster, e *engineHost)
		restore func(c *cluster, e *engineHost)
	}{
		{"killed", func(_ *cluster, e *engineHost) { e.kill() }, func(_ *cluster, e *engineHost) { e.start() }},
		{"stopped", func(_ *cluster, e *engineHost) { e.signal(syscall.SIGSTOP) }, func(_ *cluster, e *engineHost) {
			e.signal(syscall.SIGCONT)
		}},
		{"connections go silent", func(c *cluster, e *engineHost) {
			c.t.Logf("%d connections made silent", e.relay.Blackhole())
		}, func(*cluster, *engineHost) {}},
		{"answers late, crossed", func(c *cluster, e *engineHost) {
			c.setEngineFaults(e, engineapi.Faults{LateMS: 300, CrossAnswers: true})
		}, func(c *cluster, e *engineHost) { c.setEngineFaults(e, engineapi.Faults{}) }},
		{"answers without an end, releases lost", func(c *cluster, e *engineHost) {
			c.setEngineFaults(e, engineapi.Faults{DropEndMarker: true, LoseReleases: 20})
		}, func(c *cluster, e *engineHost) { c.setEngineFaults(e, engineapi.Faults{}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := startCluster(t, 2)
			w := startPrompts(t, 12, 2_000, 1_000, c.urls(c.entries...))
			time.Sleep(2 * time.Second)
			tt.inject(c, c.engines[0])
			time.Sleep(5 * time.Second)
			tt.restore(c, c.engines[0])
			time.Sleep(3 * time.Second)
			checkResults(t, w.finish())
			t.Logf("memory free after %v", c.awaitMemoryFree(40*time.Second))
		})
	}
}

// TestSilenceWithoutBound checks that TestEngineFaults detects what it claims to about silent connections. With a
// frame_gap of 10 minutes, entry hosts have no effective limit on an engine's silence, so some requests must not
// complete.
func TestSilenceWithoutBound(t *testing.T) {
	c := startClusterWithTiming(t, 2, map[string]string{"frame_gap": "10m"})
	w := startPrompts(t, 12, 2_000, 1_000, c.urls(c.entries...))
	time.Sleep(2 * time.Second)
	for _, e := range c.engines {
		t.Logf("%d connections made silent", e.relay.Blackhole())
	}
	incomplete := 0
	results := w.finish()
	for _, r := range results {
		if r.Outcome != outcome.Completed {
			incomplete++
		}
	}
	t.Logf("%d of %d requests were not completed without a limit on silence", incomplete, len(results))
	if incomplete == 0 {
		t.Error("all requests were completed without a limit on silence")
	}
}

// TestEngineKilledUnderLongPrompt guards against a missed deadline, a permanent refusal and lost memory when an engine
// fails while a long prompt runs. The prompt needs more memory than one engine has, so it is split over two; one of
// these is killed.
func TestEngineKilledUnderLongPrompt(t *testing.T) {
	c := startCluster(t, 2)
	w := &workload{client: &caller.Caller{}}
	result := make(chan caller.Result)
	go func() {
		result <- w.send(&caller.Prompt{
			EntryURL: c.entries[0].url(), Workspace: workspace, Model: "tender-1", Deadline: deadline, Text: "digest",
			PromptTokens: 600_000, OutputTokens: 4_000, Stream: true,
		})
	}()
	time.Sleep(1500 * time.Millisecond)
	victim := c.engines[0]
	for _, e := range c.engines {
		var held engineapi.Allocations
		if get(e.engineAddr, "/v1/allocations", &held) == nil && len(held.Allocations) > 0 {
			victim = e
		}
	}
	victim.kill()
	r := <-result
	t.Logf("%s %s after %v: %s", r.Outcome, r.Kind, r.Total, r.Body)
	if r.Fault != "" || r.Total > deadline+deadlineSlack {
		t.Errorf("%s after %v", r.Fault, r.Total)
	}
	if r.Kind == outcome.KindPromptTooLong {
		t.Error("a prompt that fits while all engines run was refused permanently as too long")
	}
	victim.start()
	t.Logf("memory free after %v", c.awaitMemoryFree(40*time.Second))
}

// TestCrashingPrompt guards against a prompt that takes down one engine after another, and against refusals of other
// prompts that ran on the same engines. One prompt crashes every engine that runs it and is sent six times under load.
// It must be refused as crashing after at most maxCrashes crashes, and no other prompt may be refused as crashing.
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
			c := startCluster(t, 2)
			crashes := c.superviseEngines(tt.restart, engineapi.Faults{CrashOn: "poison"})
			w := startPrompts(t, 8, 2_000, 500, c.urls(c.entries...))
			time.Sleep(time.Second)
			last := c.sendCrashingPrompt(crashes)
			results := w.finish()
			checkResults(t, results)
			refused := 0
			for _, r := range results {
				if r.Kind == outcome.KindCrashesServer {
					refused++
				}
			}
			t.Logf("%d crashes, %d other prompts refused as crashing", crashes.Load(), refused)
			if refused > 0 || crashes.Load() > maxCrashes {
				t.Errorf("%d crashes, %d other prompts refused as crashing", crashes.Load(), refused)
			}
			if last.Kind != outcome.KindCrashesServer {
				t.Errorf("the last response is %s %s", last.Outcome, last.Kind)
			}
		})
	}
}

// superviseEngines sets faults f at all engines. When an engine exits, it waits for the duration restart, starts the
// engine again and sets the faults again, until the test ends. It returns the number of exits.
func (c *cluster) superviseEngines(restart time.Duration, f engineapi.Faults) *atomic.Int64 {
	var crashes atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var supervisors sync.WaitGroup
	for _, e := range c.engines {
		c.setEngineFaults(e, f)
		supervisors.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-e.exited:
				}
				crashes.Add(1)
				time.Sleep(restart)
				e.start()
				c.await(startTimeout, e.name, func() bool { return get(e.engineAddr, "/healthz", nil) == nil })
				c.setEngineFaults(e, f)
			}
		})
	}
	c.t.Cleanup(func() {
		cancel()
		supervisors.Wait()
	})
	return &crashes
}

// sendCrashingPrompt sends the crashing prompt six times through the entry hosts in turn and returns the last result.
// It fails the test if the prompt is reported as completed or a response is faulty.
func (c *cluster) sendCrashingPrompt(crashes *atomic.Int64) caller.Result {
	w := &workload{client: &caller.Caller{}}
	var last caller.Result
	for i := range 6 {
		last = w.send(&caller.Prompt{
			EntryURL: c.entries[i%len(c.entries)].url(), Workspace: workspace, Model: "tender-1", Deadline: deadline,
			Text: "poison", PromptTokens: 2_000, OutputTokens: 500,
		})
		c.t.Logf("sent %d: %s %s after %v, %d crashes", i+1, last.Outcome, last.Kind, last.Total, crashes.Load())
		if last.Fault != "" || last.Outcome == outcome.Completed {
			c.t.Errorf("response to the crashing prompt: %s %s", last.Outcome, last.Fault)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}
