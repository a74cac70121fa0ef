package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

const (
	limitWindow  = 4 * time.Second        // span of time over which the requests to a limited replica are counted
	limitNotice  = 3 * time.Second        // time from the first naming of a limit until it must hold
	limitFactor  = 1.5                    // allowed multiple of what the limit allows in limitWindow
	limitExtra   = 5                      // requests allowed in addition
	limitCallers = 8                      // few enough for the slots of one replica
	loadInterval = 100 * time.Millisecond // pause between two requests of a caller
	// A host that has just started doesn't know yet with how many others it shares limits.
	limitStart = 3 * time.Second
)

// load sends requests for path to all hosts in turn for the given time, and returns the responses.
func (c *cluster) load(path string, d time.Duration) []response {
	var mu sync.Mutex
	var responses []response
	var callers sync.WaitGroup
	for i := range limitCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n, end := i, time.Now().Add(d); time.Now().Before(end); n++ {
				resp := c.get(n%len(c.hosts), path, nil)
				mu.Lock()
				responses = append(responses, resp)
				mu.Unlock()
				time.Sleep(loadInterval)
			}
		}()
	}
	callers.Wait()
	return responses
}

// mostInWindow returns the largest number of the requests that arrived within any limitWindow.
func mostInWindow(received []replica.ReceivedRequest) int {
	slices.SortFunc(received, func(a, b replica.ReceivedRequest) int { return a.At.Compare(b.At) })
	most, first := 0, 0
	for last := range received {
		for received[last].At.Sub(received[first].At) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// wantAtMost checks that the replica got no more requests since then than perSecond allows, and returns them.
func (c *cluster) wantAtMost(id string, since time.Time, perSecond float64) []replica.ReceivedRequest {
	c.t.Helper()
	received := c.log.Received(id, since)
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitExtra
	if most := mostInWindow(received); most > allowed {
		c.t.Errorf("%s got %d requests in %v, at most %d are allowed", id, most, limitWindow, allowed)
	}
	return received
}

// wantLimited checks that the replica got no more requests since then than perSecond allows, and not much less either.
func (c *cluster) wantLimited(id string, since time.Time, perSecond float64) {
	c.t.Helper()
	elapsed := time.Since(since)
	received := c.wantAtMost(id, since, perSecond)
	if least := int(perSecond * elapsed.Seconds() / 2); len(received) < least {
		c.t.Errorf("%s got %d requests in %v, want %d at least", id, len(received), elapsed, least)
	}
}

// All replicas of a service but one name a limit, in answers to requests of several hosts. Guards against more requests
// than the limit from all hosts together (incident LIMIT), and against refusals while the free replica takes requests.
func TestNamedLimitHoldsOverAllHosts(t *testing.T) {
	t.Parallel()
	const perSecond = 2
	c := newCluster(t, 3, &faultInjector{})
	defer c.logOnFailure()
	limited := slices.Concat(c.replicas[1:4], c.replicas[5:])
	for _, r := range limited {
		r.NameLimit(strconv.Itoa(perSecond))
	}
	var loads sync.WaitGroup
	for _, path := range []string{"/quotes/1", "/lookups/1"} {
		loads.Add(1)
		go func() {
			defer loads.Done()
			c.load(path, limitStart)
			for _, resp := range c.load(path, limitWindow+time.Second) {
				if resp.status != http.StatusOK {
					t.Errorf("%s: status %d, error %v: %s", path, resp.status, resp.err, resp.body)
				}
			}
		}()
	}
	time.Sleep(limitNotice)
	since := time.Now() // the limits must hold from now on, also while the hosts have just started
	loads.Wait()
	for _, r := range limited {
		c.wantAtMost(r.ID, since, perSecond)
	}
}

// The only replicas of a service name a limit. Each must get close to what it takes, and no more (incident LIMIT); callers
// beyond that are refused at once and told to come back at different times.
func TestCallersOfLimitedServiceAreServedAtItsRate(t *testing.T) {
	t.Parallel()
	const perSecond = 4
	c := newCluster(t, 3, &faultInjector{})
	defer c.logOnFailure()
	for _, r := range c.replicas[4:] {
		r.NameLimit(strconv.Itoa(perSecond))
	}
	c.load("/lookups/1", limitStart)
	since := time.Now()
	returns := make(map[string]bool)
	refused := 0
	for _, resp := range c.load("/lookups/1", limitWindow+time.Second) {
		if resp.status == http.StatusOK {
			continue
		}
		refused++
		returns[resp.header.Get("Retry-After")] = true
		after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		if resp.status != http.StatusServiceUnavailable || err != nil || after <= 0 || resp.took > 300*time.Millisecond {
			t.Errorf("status %d, Retry-After %q after %v, want 503 at once: %s", resp.status,
				resp.header.Get("Retry-After"), resp.took, resp.body)
		}
	}
	for _, r := range c.replicas[4:] {
		c.wantLimited(r.ID, since, perSecond)
	}
	if refused == 0 || len(returns) < refused/4 {
		t.Errorf("%d callers were refused and told %d different times to return", refused, len(returns))
	}
}
