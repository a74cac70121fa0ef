//go:build proofs

package proofs

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/caller"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// TestEntryHostKilled guards against requests through other hosts that fail because an entry host was killed, and
// against backend servers that keep a failed scheduler. An entry host that is the scheduler of a backend server is
// killed under load. Within 2 s, no backend server may have it as its scheduler any more; the other hosts must go on to
// serve; and no engine may still hold memory afterwards.
func TestEntryHostKilled(t *testing.T) {
	c := startCluster(t, 2)
	w := startPrompts(t, 12, 2_000, 2_000, c.urls(c.entries...))
	time.Sleep(2 * time.Second)
	victim := c.schedulingHost()
	victim.kill()
	took := c.await(10*time.Second, "the schedulers to move", func() bool {
		s, err := c.status(c.otherInDomain(victim))
		if err != nil {
			return false
		}
		for _, b := range s.BackendServers {
			if b.Scheduler == victim.name {
				return false
			}
		}
		return true
	})
	t.Logf("schedulers moved after %v", took)
	if took > 2*time.Second+2*pollInterval {
		t.Errorf("schedulers moved after %v", took)
	}
	time.Sleep(3 * time.Second)
	checkResults(t, w.finish(), victim.url())
	t.Logf("memory free after %v", c.awaitMemoryFree(40*time.Second))
}

// TestEntryHostKilledWithReservations guards against engine memory that stays reserved for an entry host that has
// failed. The host is killed while its long prompt holds memory on two engines. If the host is started again at once,
// the memory must be free long before its reservation expires; otherwise it must be free soon after that.
func TestEntryHostKilledWithReservations(t *testing.T) {
	tests := []struct {
		name      string
		restarted bool
		expiry    time.Duration // of the reserved memory; the prompt's deadline
		limit     time.Duration // until the memory must be free
	}{
		// The new process proves that the old one has ended and no longer uses its memory.
		{"replaced at once", true, time.Minute, 20 * time.Second},
		// A host that has failed can't be told from one that is cut off and still uses its memory, so the memory stays
		// reserved until it expires.
		{"not replaced", false, 20 * time.Second, 30 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := startCluster(t, 2)
			victim := c.entries[0]
			go (&caller.Caller{}).Send(context.Background(), &caller.Prompt{
				EntryURL: victim.url(), Workspace: workspace, Model: "tender-1", Deadline: tt.expiry, Text: "digest",
				PromptTokens: 600_000, OutputTokens: 8_000, Stream: true,
			})
			c.await(10*time.Second, "memory held on two engines", func() bool { return c.enginesHoldingMemory() == 2 })
			victim.kill()
			if tt.restarted {
				victim.start()
			}
			t.Logf("memory free after %v, it would expire after %v", c.awaitMemoryFree(tt.limit), tt.expiry)
		})
	}
}

// enginesHoldingMemory returns the number of engines that hold memory for any owner.
func (c *cluster) enginesHoldingMemory() int {
	holding := 0
	for _, e := range c.engines {
		var held engineapi.Allocations
		if get(e.engineAddr, "/v1/allocations", &held) == nil && len(held.Allocations) > 0 {
			holding++
		}
	}
	return holding
}

// schedulingHost returns an entry host that is the scheduler of a backend server.
func (c *cluster) schedulingHost() *entryHost {
	c.t.Helper()
	for _, e := range c.entries {
		s, err := c.status(e)
		if err != nil {
			c.t.Fatal(err)
		}
		for _, b := range s.BackendServers {
			if b.Scheduler == e.name {
				return e
			}
		}
	}
	c.t.Fatal("no entry host schedules a backend server")
	return nil
}

// otherInDomain returns an entry host of the same failure domain as e other than e, or nil if there is none.
func (c *cluster) otherInDomain(e *entryHost) *entryHost {
	for _, other := range c.entries {
		if other.domain == e.domain && other != e {
			return other
		}
	}
	return nil
}

// TestEntryHostStopped guards against damage from an entry host whose machine pauses and later goes on. SIGSTOP stops
// the process for 6 s under load. The other hosts must go on to serve; afterwards each host must list all hosts as
// alive, and no engine may still hold memory.
func TestEntryHostStopped(t *testing.T) {
	c := startCluster(t, 2)
	w := startPrompts(t, 12, 2_000, 500, c.urls(c.entries...))
	time.Sleep(2 * time.Second)
	paused := c.entries[1]
	paused.signal(syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	paused.signal(syscall.SIGCONT)
	time.Sleep(4 * time.Second)
	checkResults(t, w.finish(), paused.url())
	for _, e := range c.entries {
		c.await(10*time.Second, e.name+" to see all hosts alive", func() bool {
			s, err := c.status(e)
			alive := 0
			for _, m := range s.Members {
				if m.State == "alive" {
					alive++
				}
			}
			return err == nil && alive == len(c.entries)
		})
	}
	t.Logf("memory free after %v", c.awaitMemoryFree(40*time.Second))
}

// TestRollingRestart guards against planned stops that interrupt requests. Each entry host in turn gets SIGTERM under
// load and is started again, while a balancer sends requests only to hosts that are ready. Every request must complete.
func TestRollingRestart(t *testing.T) {
	c := startCluster(t, 2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := startPrompts(t, 12, 2_000, 2_000, c.readyTargets(ctx))
	time.Sleep(time.Second)
	for _, e := range c.entries {
		e.signal(syscall.SIGTERM)
		if code := e.awaitExit(30 * time.Second); code != 0 {
			t.Errorf("%s ended with exit code %d", e.name, code)
		}
		e.start()
		c.awaitReady(e)
		time.Sleep(time.Second)
	}
	results := w.finish()
	checkResults(t, results)
	checkAllCompleted(t, results)
	t.Logf("memory free after %v", c.awaitMemoryFree(20*time.Second))
}

// TestRestartWithoutDelay checks that TestRollingRestart detects interrupted requests. With a balancer_delay of 1 ms, a
// host closes its listener before the balancer notices that it is no longer ready, so some requests must fail.
func TestRestartWithoutDelay(t *testing.T) {
	c := startClusterWithTiming(t, 2, map[string]string{"balancer_delay": "1ms"})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := startPrompts(t, 12, 2_000, 50, c.readyTargets(ctx))
	time.Sleep(time.Second)
	for _, e := range c.entries[:3] {
		e.signal(syscall.SIGTERM)
		e.awaitExit(30 * time.Second)
		e.start()
		c.awaitReady(e)
	}
	failed := 0
	results := w.finish()
	for _, r := range results {
		if r.Fault != "" {
			failed++
		}
	}
	t.Logf("%d of %d requests found no host without the balancer's delay", failed, len(results))
	if failed == 0 {
		t.Error("every request found a host without the balancer's delay")
	}
}

// TestLeavingEngine guards against new work that is sent to an engine that is about to shut down. An engine under load
// is announced as leaving, by itself or in the platform's host list. After a grace period of 3 s, it must get no new
// requests, and every request must complete.
func TestLeavingEngine(t *testing.T) {
	const grace = 3 * time.Second
	tests := []struct {
		name     string
		announce func(c *cluster, e *engineHost)
		// newRequests returns how many requests for new work the engine has counted; only the increase is checked.
		newRequests func(c *cluster, e *engineHost) int
	}{
		{"by its own word", func(c *cluster, e *engineHost) {
			c.setEngineFaults(e, engineapi.Faults{Leaving: true})
		}, func(c *cluster, e *engineHost) int {
			return c.counts(e).Refused[engineapi.RefusalLeaving]
		}},
		{"by the platform's list", func(c *cluster, e *engineHost) {
			list := c.hostList()
			for i := range list {
				list[i].Leaving = list[i].Name == e.name
			}
			c.putHosts(list)
		}, func(c *cluster, e *engineHost) int { return c.counts(e).Accepted }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := startCluster(t, 2)
			w := startPrompts(t, 12, 2_000, 100, c.urls(c.entries...))
			time.Sleep(2 * time.Second)
			leaving := c.engines[0]
			if c.counts(leaving).Accepted == 0 {
				t.Fatal("the engine that is to be announced as leaving has no work")
			}
			tt.announce(c, leaving)
			time.Sleep(grace)
			before := tt.newRequests(c, leaving)
			time.Sleep(4 * time.Second)
			after := tt.newRequests(c, leaving)
			results := w.finish()
			checkResults(t, results)
			checkAllCompleted(t, results)
			if after != before {
				t.Errorf("%d new requests more than %v after the engine was announced as leaving", after-before, grace)
			}
		})
	}
}
