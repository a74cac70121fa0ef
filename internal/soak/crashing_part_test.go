//go:build soak

package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const (
	stableWindow      = 3 * time.Second // until all hosts must know of a crash, and of what a restarted host has missed
	crashesUntilKnown = 5               // crashes on a part after which requests with it must not reach replicas
	maxReachAfter     = 3               // of these requests that may do so all the same
	crashLimit        = 30 * time.Second
	killedHosts       = 3 // hosts that are killed one after the other once the part must be known
	killInterval      = 2 * time.Second
)

// TestCrashingPart guards against requests with a part in their prompts on which replicas crash, no two of them alike,
// that go on reaching replicas, also after hosts that knew of the part were restarted; and against sound requests that
// aren't served meanwhile.
func TestCrashingPart(t *testing.T) {
	d := newDeployment(t, buildBinary(t), *firstSeed)
	defer func() {
		if t.Failed() && *logDir != "" {
			d.saveLogs(fmt.Sprintf("%s/part-%d", *logDir, *firstSeed))
		}
	}()
	if !d.awaitReady(readyTimeout) {
		t.Fatal("the hosts are not ready")
	}
	c := &checker{deployment: d}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		c.injectCrashes(rand.New(rand.NewPCG(*firstSeed, 6)), stop)
	}()
	known := d.awaitCrashes().Add(stableWindow)
	time.Sleep(time.Until(known))
	for _, h := range d.hosts[:killedHosts] {
		h.kill()
		time.Sleep(restartDelay)
		d.start(h)
		time.Sleep(killInterval)
	}
	time.Sleep(stableWindow)
	c.checkRecovery(*firstSeed)
	close(stop)
	<-stopped
	c.checkReplicas()
	c.checkReach(known)
}

// awaitCrashes waits until crashesUntilKnown replicas have crashed on crashingPart, or none has for stableWindow because the
// requests are kept from them: none was at a replica meanwhile. It returns the time of the last of these crashes.
func (d *deployment) awaitCrashes() time.Time {
	for end := time.Now().Add(crashLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		crashes := d.requestLog.Crashes(crashingPart)
		crashes = crashes[:min(len(crashes), crashesUntilKnown)]
		if len(crashes) == 0 {
			continue
		}
		last := crashes[len(crashes)-1]
		now := time.Now()
		kept := now.Sub(last) > stableWindow && !d.crashingPartActive(now.Add(-stableWindow))
		if len(crashes) == crashesUntilKnown || kept {
			return last
		}
	}
	d.t.Fatalf("no crash within %v", crashLimit)
	return time.Time{}
}

// crashingPartActive reports whether a replica was at work on a request with crashingPart after since.
func (d *deployment) crashingPartActive(since time.Time) bool {
	for _, r := range d.replicas {
		for _, req := range d.requestLog.Received(r.ID, time.Time{}) {
			if strings.Contains(req.Header.Get("Prompt-Prefix"), crashingPart) &&
				d.requestLog.ActiveSince(req.Header.Get("Request-Id"), since) {
				return true
			}
		}
	}
	return false
}

// checkReach fails the test if more than maxReachAfter of the requests of injectCrashes reached replicas after known from
// hosts that had not been disturbed for stableWindow.
func (c *checker) checkReach(known time.Time) {
	reached := 0
	for id, h := range c.senders {
		for _, r := range c.deployment.requestLog.Requests(id) {
			if r.At.After(known) && h.undisturbedSince(r.At.Add(-stableWindow)) {
				reached++
			}
		}
	}
	if reached > maxReachAfter {
		c.deployment.t.Errorf("%d of %d requests with the part reached replicas %v after crash %d, want at most %d; %d crashes",
			reached, len(c.senders), stableWindow, crashesUntilKnown, maxReachAfter,
			len(c.deployment.requestLog.Crashes(crashingPart)))
	}
}
