//go:build proofs

package proofs

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// TestEntryHostKilled kills an entry host under load; the others go on, and engines lose no memory.
func TestEntryHostKilled(t *testing.T) {
	c := start(t, 2)
	w := prompts(t, 12, 2_000, 2_000, c.urls(c.entries...))
	time.Sleep(2 * time.Second)
	victim := c.scheduling()
	victim.kill()
	moved := c.await(10*time.Second, "the schedulers to move", func() bool {
		s, err := c.status(c.other(victim))
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
	t.Logf("schedulers moved after %v", moved)
	if moved > 2*time.Second+2*pollTime {
		t.Errorf("schedulers moved after %v", moved)
	}
	time.Sleep(3 * time.Second)
	judge(t, w.finish(), victim.url())
	t.Logf("memory free after %v", c.awaitNoMemory(40*time.Second))
}

// scheduling returns an entry host that schedules a backend server.
func (c *cluster) scheduling() *entryHost {
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

// other returns another entry host of the same failure domain.
func (c *cluster) other(than *entryHost) *entryHost {
	for _, e := range c.entries {
		if e.domain == than.domain && e != than {
			return e
		}
	}
	return nil
}

// TestEntryHostStopped stops an entry host for a while, as a pause of its machine would.
func TestEntryHostStopped(t *testing.T) {
	c := start(t, 2)
	w := prompts(t, 12, 2_000, 500, c.urls(c.entries...))
	time.Sleep(2 * time.Second)
	paused := c.entries[1]
	paused.signal(syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	paused.signal(syscall.SIGCONT)
	time.Sleep(4 * time.Second)
	judge(t, w.finish(), paused.url())
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
	t.Logf("memory free after %v", c.awaitNoMemory(40*time.Second))
}

// TestRollingRestart stops and starts every entry host in turn, behind a balancer that follows readiness.
func TestRollingRestart(t *testing.T) {
	c := start(t, 2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := prompts(t, 12, 2_000, 2_000, c.ready(ctx))
	time.Sleep(time.Second)
	for _, e := range c.entries {
		e.signal(syscall.SIGTERM)
		if code := e.end(30 * time.Second); code != 0 {
			t.Errorf("%s ended with exit code %d", e.name, code)
		}
		e.start()
		c.awaitReady(e)
		time.Sleep(time.Second)
	}
	answers := w.finish()
	judge(t, answers)
	allCompleted(t, answers)
	t.Logf("memory free after %v", c.awaitNoMemory(20*time.Second))
}

// TestRestartWithoutDelay stops hosts that leave their balancer no time; callers must see that, or TestRollingRestart
// shows nothing.
func TestRestartWithoutDelay(t *testing.T) {
	c := startWith(t, 2, map[string]string{"balancer_delay": "1ms"})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := prompts(t, 12, 2_000, 50, c.ready(ctx))
	time.Sleep(time.Second)
	for _, e := range c.entries[:3] {
		e.signal(syscall.SIGTERM)
		e.end(30 * time.Second)
		e.start()
		c.awaitReady(e)
	}
	refused := 0
	answers := w.finish()
	for _, a := range answers {
		if a.Fault != "" {
			refused++
		}
	}
	t.Logf("%d of %d requests found no host without the balancer's delay", refused, len(answers))
	if refused == 0 {
		t.Error("no request was refused without the balancer's delay")
	}
}

// TestLeavingEngine lets engines say that they leave, and counts what is still sent to them.
func TestLeavingEngine(t *testing.T) {
	const grace = 3 * time.Second
	tests := []struct {
		name  string
		leave func(c *cluster, e *engineHost)
		// asked counts requests for new work that reached the engine.
		asked func(c *cluster, e *engineHost) int
	}{
		{"by its own word", func(c *cluster, e *engineHost) {
			c.engineFaults(e, engineapi.Faults{Leaving: true})
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
			c := start(t, 2)
			w := prompts(t, 12, 2_000, 100, c.urls(c.entries...))
			time.Sleep(2 * time.Second)
			leaving := c.engines[0]
			if c.counts(leaving).Accepted == 0 {
				t.Fatal("the engine that is to leave has no work")
			}
			tt.leave(c, leaving)
			time.Sleep(grace)
			before := tt.asked(c, leaving)
			time.Sleep(4 * time.Second)
			after := tt.asked(c, leaving)
			answers := w.finish()
			judge(t, answers)
			allCompleted(t, answers)
			if after != before {
				t.Errorf("%d new requests more than %v after it began to leave", after-before, grace)
			}
		})
	}
}
