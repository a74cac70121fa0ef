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

const activationTimeout = 4 * time.Second // from a change's acceptance until it is active on all hosts

// revisions checks that the revision of the active configuration never decreases on any host.
type revisions struct {
	mu     sync.Mutex
	newest map[string]uint64 // by host and incarnation
}

// watchRevisions polls the status of each entry host until ctx ends, and fails the test if a revision decreases.
func (c *cluster) watchRevisions(ctx context.Context) *revisions {
	r := &revisions{newest: make(map[string]uint64)}
	for _, e := range c.entries {
		go func() {
			for ctx.Err() == nil {
				if s, err := c.status(e); err == nil {
					r.record(c, e.name, s)
				}
				time.Sleep(pollInterval)
			}
		}()
	}
	return r
}

// record fails the test if s has an older revision than an earlier status of the same incarnation, or if the host is
// ready without a configuration.
func (r *revisions) record(c *cluster, host string, s adminapi.Status) {
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

// change applies a new share of the workspace through the given entry host and returns the revision of the change.
func (c *cluster) change(e *entryHost, share int) (uint64, error) {
	file := filepath.Join(c.dir, "workspaces.jsonc")
	base, err := c.configCommand(e, "get", "workspaces")
	if err != nil {
		return 0, fmt.Errorf("%w: %s", err, base)
	}
	header, _, _ := strings.Cut(base, "\n")
	body := fmt.Sprintf(header+"\n"+`[{"name": "fundiquote", "share": %d, "tokens_per_minute": 0, "max_in_flight": 0}]`, share)
	if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
		return 0, err
	}
	out, err := c.apply(e, "workspaces", file)
	if err != nil {
		return 0, fmt.Errorf("%w: %s", err, out)
	}
	s, err := c.status(e)
	return s.Configuration.Revision, err
}

// awaitRevision waits until the given revision, or a newer one, is active on the given entry hosts.
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

// TestConfigurationInForce guards against accepted configuration changes that reach a host late or not at all, and
// against hosts that return to an older revision. Changes are applied while a failure domain is cut off from the
// platform, while the platform loses responses to writes, and while a host is stopped. No host's revision may decrease,
// also not while the platform serves stale reads. While the platform is down, no change may be accepted, and a host
// that restarts must become ready with the newest revision.
func TestConfigurationInForce(t *testing.T) {
	c := startCluster(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.watchRevisions(ctx)
	change := func(share int, limit time.Duration, entries ...*entryHost) {
		t.Helper()
		revision, err := c.change(c.entries[0], share)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("share %d: revision %d active on %d hosts after %v", share, revision, len(entries),
			c.awaitRevision(revision, limit, entries...))
	}
	change(2, activationTimeout, c.entries...)

	c.setPlatformFaults(platformapi.Faults{CutOffFailureDomains: []string{domains[1]}})
	change(3, activationTimeout, c.entries...)
	c.setPlatformFaults(platformapi.Faults{LoseWriteAnswers: 3})
	change(4, activationTimeout, c.entries...)
	c.setPlatformFaults(platformapi.Faults{StaleReads: true})
	time.Sleep(time.Second)
	c.setPlatformFaults(platformapi.Faults{})

	paused := c.entries[4]
	paused.signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	running := append(append([]*entryHost{}, c.entries[:4]...), c.entries[5])
	change(5, activationTimeout, running...)
	paused.signal(syscall.SIGCONT)
	s, _ := c.status(c.entries[0])
	t.Logf("paused host caught up after %v", c.awaitRevision(s.Configuration.Revision, 2*activationTimeout, paused))

	// A host that restarts while the platform is down gets the configuration from its peers.
	c.setPlatformFaults(platformapi.Faults{Down: true})
	if _, err := c.change(c.entries[0], 6); err == nil {
		t.Error("a change was accepted without the platform")
	}
	c.entries[2].kill()
	c.entries[2].start()
	began := time.Now()
	c.awaitReady(c.entries[2])
	c.awaitRevision(s.Configuration.Revision, activationTimeout, c.entries[2])
	t.Logf("a host restarted without the platform was ready after %v", time.Since(began))
}

// TestOutage guards against an outage of the platform that keeps hosts from serving or from recovering. While the
// platform does not respond, an engine and an entry host are killed under load and started again; the host must become
// ready, the other hosts must go on to serve, and no engine may still hold memory afterwards.
func TestOutage(t *testing.T) {
	c := startCluster(t, 2)
	w := startPrompts(t, 12, 2_000, 500, c.urls(c.entries...))
	time.Sleep(time.Second)
	c.setPlatformFaults(platformapi.Faults{Hang: true})
	time.Sleep(3 * time.Second)
	c.engines[0].kill()
	victim := c.entries[3]
	victim.kill()
	time.Sleep(5 * time.Second)
	c.engines[0].start()
	victim.start()
	c.awaitReady(victim)
	time.Sleep(2 * time.Second)
	checkResults(t, w.finish(), victim.url())
	t.Logf("memory free after %v", c.awaitMemoryFree(40*time.Second))
	if _, err := c.status(c.entries[0]); err != nil {
		t.Error(err)
	}
}
