package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	stableWindow      = 3 * time.Second // until all hosts must know of a crash
	crashesUntilKnown = 5               // crashes on a part after which requests with it must not reach replicas
	maxReachAfter     = 3               // of these requests that may do so all the same
	soundSample       = 30              // sound requests whose share of immediate starts is compared
)

// postParts sends a request whose prompt has a part that all such requests share, middle and a part of its own. Half of
// the requests are sent to another route.
func (c *cluster) postParts(h, number int, middle string) response {
	path := []string{"/quotes/", "/dossiers/"}[number%2]
	return c.do(h, http.MethodPost, fmt.Sprint(path, number), fmt.Sprint("prompt ", number), http.Header{
		"Token-Usage": {"4000,1000"}, "Prompt-Prefix": {fmt.Sprintf("a0:1000,%s:500,%x:2500", middle, 0x10000+number)},
	})
}

// startedAtOnce returns how many of soundSample sound requests are served at their first attempt.
func (c *cluster) startedAtOnce(firstNumber int) int {
	n := 0
	for i := range soundSample {
		resp := c.postParts(i%len(c.hosts), firstNumber+i, "50d0")
		if resp.err == nil && resp.status == http.StatusOK && len(c.log.Requests(resp.id)) == 1 {
			n++
		}
	}
	return n
}

// awaitCrashes waits until crashesUntilKnown replicas have crashed on crashingPart, or none has for stableWindow because
// the requests are kept from them. It returns the time of the last of these crashes.
func (c *cluster) awaitCrashes() time.Time {
	var last time.Time
	c.eventually("replicas have crashed", func() bool {
		crashes := c.log.Crashes(crashingPart)
		crashes = crashes[:min(len(crashes), crashesUntilKnown)]
		if len(crashes) == 0 {
			return false
		}
		last = crashes[len(crashes)-1]
		return len(crashes) == crashesUntilKnown || time.Since(last) > stableWindow
	})
	return last
}

// Guards against a part of many prompts, no two of them alike, that crashes replicas one after the other: once it has
// crashed some, hardly any request with it reaches a replica, and sound requests that share the other parts are served.
func TestPartOfPromptsThatCrashesReplicasIsKeptFromThem(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, &faultInjector{})
	defer c.logOnFailure()
	usual := c.startedAtOnce(0)
	stop := make(chan struct{})
	var mu sync.Mutex
	var crashing []string // IDs of the requests with the part
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for number := 1000; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			all.Add(1)
			go func() {
				defer all.Done()
				resp := c.postParts(number%len(c.hosts), number, crashingPart)
				mu.Lock()
				defer mu.Unlock()
				crashing = append(crashing, resp.id)
			}()
		}
	}()
	known := c.awaitCrashes().Add(stableWindow)
	time.Sleep(time.Until(known.Add(stableWindow)))
	if n := c.startedAtOnce(2000); 2*n < usual {
		t.Errorf("%d of %d sound requests are served at their first attempt, %d before the crashes", n, soundSample, usual)
	}
	close(stop)
	all.Wait()
	reached := 0
	for _, id := range crashing {
		for _, r := range c.log.Requests(id) {
			if r.At.After(known) {
				reached++
			}
		}
	}
	if reached > maxReachAfter {
		t.Errorf("%d requests with the part reached replicas %v after crash %d, want at most %d; %d crashes in all", reached,
			stableWindow, crashesUntilKnown, maxReachAfter, len(c.log.Crashes(crashingPart)))
	}
}
