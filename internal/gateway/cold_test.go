package gateway_test

import (
	"bytes"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// A replica starts again and says in its entry that it is cold. Guards against an entry that doesn't reach the hosts that place
// requests, against more requests than the bound allows from all of them, and against refusals while others take requests.
func TestColdReplicaGetsFewRequests(t *testing.T) {
	t.Parallel()
	const (
		perSecond = 8
		bound     = perSecond*1.5 + 5 // requests in any second
	)
	c := newCluster(t, 3, &faultInjector{})
	defer c.logOnFailure()
	doc := c.configuration()
	for _, s := range doc["services"].([]any) {
		s.(map[string]any)["coldStartS"] = 3
		s.(map[string]any)["coldPerS"] = perSecond
	}
	c.putConfiguration(doc)
	time.Sleep(limitStart) // until the hosts know each other
	r := c.replicas[4]
	r.Restart()
	c.store.Put("servers/"+r.ID, bytes.Replace(r.Entry("ready"), []byte(`"coldRemainingMs":0`), []byte(`"coldRemainingMs":60000`), 1))
	c.eventually("all hosts know that the replica is cold", func() bool {
		for _, h := range c.hosts {
			for _, known := range h.status().Replicas {
				// Longer than the time that a host assumes without the entry.
				if known.ID == r.ID && known.ColdRemainingMS < 10_000 || known.ID != r.ID && known.ColdRemainingMS > 0 {
					return false
				}
			}
		}
		return true
	})
	since := time.Now()
	for _, resp := range c.load("/lookups/1", 4*time.Second) {
		if resp.status != http.StatusOK {
			t.Errorf("status %d, error %v: %s", resp.status, resp.err, resp.body)
		}
	}
	received := c.log.Received(r.ID, since)
	slices.SortFunc(received, func(a, b replica.ReceivedRequest) int { return a.At.Compare(b.At) })
	first, most := 0, 0
	for last := range received {
		for received[last].At.Sub(received[first].At) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	t.Logf("%d requests, at most %d in a second", len(received), most)
	if most > bound || len(received) == 0 {
		t.Errorf("%d requests, at most %d in a second, want up to %v", len(received), most, bound)
	}
	c.store.Put("servers/"+r.ID, r.Entry("ready"))
	c.eventually("all hosts know that the replica isn't cold any more", func() bool {
		for _, h := range c.hosts {
			for _, known := range h.status().Replicas {
				if known.ColdRemainingMS > 0 {
					return false
				}
			}
		}
		return true
	})
	warm := time.Now()
	c.load("/lookups/1", 2*time.Second)
	if n := len(c.log.Received(r.ID, warm)); n <= 2*perSecond {
		t.Errorf("%d requests in 2 s after the cold time, want more than the %d of a cold replica", n, 2*perSecond)
	}
}
