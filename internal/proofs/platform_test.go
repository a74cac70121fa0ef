//go:build proofs

package proofs

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const forceLimit = 4 * time.Second // from an acceptance until it is in force everywhere

// revisions watches that no host's revision of the configuration falls; get returns the newest of each.
type revisions struct {
	mu     sync.Mutex
	newest map[string]uint64
}

func (c *cluster) watchRevisions(ctx context.Context) *revisions {
	r := &revisions{newest: make(map[string]uint64)}
	for _, e := range c.entries {
		go func() {
			for ctx.Err() == nil {
				if s, err := c.status(e); err == nil {
					r.take(c, e.name, s)
				}
				time.Sleep(pollTime)
			}
		}()
	}
	return r
}

func (r *revisions) take(c *cluster, host string, s adminapi.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprint(host, " ", s.Incarnation)
	if s.Configuration.Revision < r.newest[key] {
		c.t.Errorf("%s went back from revision %d to %d", host, r.newest[key], s.Configuration.Revision)
	}
	r.newest[key] = s.Configuration.Revision
	if s.Ready && s.Configuration.Revision == 0 {
		c.t.Errorf("%s is ready without a configuration", host)
	}
}

// change accepts a change of the workspaces and returns its revision.
func (c *cluster) change(at *entryHost, share int) (uint64, error) {
	file := filepath.Join(c.dir, "workspaces.jsonc")
	base, err := c.config(at, "get", "workspaces")
	if err != nil {
		return 0, fmt.Errorf("%w: %s", err, base)
	}
	header, _, _ := strings.Cut(base, "\n")
	body := fmt.Sprintf(header+"\n"+`[{"name": "fundiquote", "share": %d, "tokens_per_minute": 0, "max_in_flight": 0}]`, share)
	if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
		return 0, err
	}
	out, err := c.apply(at, "workspaces", file)
	if err != nil {
		return 0, fmt.Errorf("%w: %s", err, out)
	}
	s, err := c.status(at)
	return s.Configuration.Revision, err
}

// awaitRevision waits until hosts have a revision in force.
func (c *cluster) awaitRevision(revision uint64, limit time.Duration, entries ...*entryHost) time.Duration {
	c.t.Helper()
	return c.await(limit, fmt.Sprintf("revision %d on %d hosts", revision, len(entries)), func() bool {
		for _, e := range entries {
			if s, err := c.status(e); err != nil || s.Configuration.Revision < revision {
				return false
			}
		}
		return true
	})
}

// TestConfigurationInForce accepts changes while hosts and the platform fail.
func TestConfigurationInForce(t *testing.T) {
	c := start(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.watchRevisions(ctx)
	change := func(share int, limit time.Duration, entries ...*entryHost) {
		t.Helper()
		revision, err := c.change(c.entries[0], share)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("share %d: revision %d in force on %d hosts after %v", share, revision, len(entries),
			c.awaitRevision(revision, limit, entries...))
	}
	change(2, forceLimit, c.entries...)

	c.platformFaults(platformapi.Faults{CutOffFailureDomains: []string{domains[1]}})
	change(3, forceLimit, c.entries...)
	c.platformFaults(platformapi.Faults{LoseWriteAnswers: 3})
	change(4, forceLimit, c.entries...)
	c.platformFaults(platformapi.Faults{StaleReads: true})
	time.Sleep(time.Second)
	c.platformFaults(platformapi.Faults{})

	paused := c.entries[4]
	paused.signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	running := append(append([]*entryHost{}, c.entries[:4]...), c.entries[5])
	change(5, forceLimit, running...)
	paused.signal(syscall.SIGCONT)
	s, _ := c.status(c.entries[0])
	t.Logf("paused host caught up after %v", c.awaitRevision(s.Configuration.Revision, 2*forceLimit, paused))

	// A new host starts from its peers while the platform is down.
	c.platformFaults(platformapi.Faults{Down: true})
	if _, err := c.change(c.entries[0], 6); err == nil {
		t.Error("a change was accepted without the platform")
	}
	c.entries[2].kill()
	c.entries[2].start()
	began := time.Now()
	c.awaitReady(c.entries[2])
	c.awaitRevision(s.Configuration.Revision, forceLimit, c.entries[2])
	t.Logf("a host restarted without the platform was ready after %v", time.Since(began))
}

// TestOutage serves prompts through an outage of the platform together with the deaths of a host and an engine.
func TestOutage(t *testing.T) {
	c := start(t, 2)
	w := prompts(t, 12, 2_000, 500, c.urls(c.entries...))
	time.Sleep(time.Second)
	c.platformFaults(platformapi.Faults{Hang: true})
	time.Sleep(3 * time.Second)
	c.engines[0].kill()
	victim := c.entries[3]
	victim.kill()
	time.Sleep(5 * time.Second)
	c.engines[0].start()
	victim.start()
	c.awaitReady(victim)
	time.Sleep(2 * time.Second)
	judge(t, w.finish(), victim.url())
	t.Logf("memory free after %v", c.awaitNoMemory(40*time.Second))
	if _, err := c.status(c.entries[0]); err != nil {
		t.Error(err)
	}
}
