//go:build proofs

package proofs

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/caller"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

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

// TestCrashingPrompt sends a prompt that crashes each engine that runs it, twice, beside others; engines are restarted.
func TestCrashingPrompt(t *testing.T) {
	c := start(t, 2)
	crash := func(e *engineHost) { c.engineFaults(e, engineapi.Faults{CrashOn: "poison"}) }
	for _, e := range c.engines {
		crash(e)
	}
	crashes := 0
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			for _, e := range c.engines {
				select {
				case <-stop:
					return
				case <-e.done:
					crashes++
					e.start()
					c.await(startTime, e.name, func() bool { return get(e.direct, "/healthz", nil) == nil })
					crash(e)
				case <-time.After(pollTime):
				}
			}
		}
	}()
	w := prompts(t, 8, 2_000, 500, c.urls(c.entries...))
	time.Sleep(time.Second)
	poison := &work{client: &caller.Caller{}}
	for i := range 6 {
		r := poison.send(&caller.Prompt{
			Entry: c.entries[i%len(c.entries)].url(), Workspace: workspace, Model: "tender-1", Deadline: deadline,
			Text: "poison", PromptTokens: 2_000, OutputTokens: 500,
		})
		t.Logf("sent %d: %s %s after %v, %d crashes", i+1, r.Outcome, r.Kind, r.Total, crashes)
		if r.Fault != "" || r.Outcome == outcome.Completed {
			t.Errorf("the crashing prompt was told %s %s", r.Outcome, r.Fault)
		}
		time.Sleep(500 * time.Millisecond)
	}
	answers := w.finish()
	close(stop)
	<-stopped
	judge(t, answers)
	refused := 0
	for _, a := range answers {
		if a.Kind == outcome.KindCrashing {
			refused++
		}
	}
	t.Logf("%d crashes, %d bystanders refused as crashing", crashes, refused)
	if refused > 0 || crashes > 3 {
		t.Errorf("%d crashes, %d bystanders refused as crashing", crashes, refused)
	}
	last := poison.answers[len(poison.answers)-1]
	if last.Kind != outcome.KindCrashing {
		t.Errorf("the last answer is %s %s", last.Outcome, last.Kind)
	}
}
