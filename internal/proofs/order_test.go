//go:build proofs

package proofs

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/caller"
	"github.com/turmericshunt/turmericshunt/internal/standin/service"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const orderTimeout = 3 * time.Second // deadline of each order

// sendOrders sends count orders, waits for pause after each, and sends each to two entry hosts at the same time. It
// returns the results by idempotency key, two for each.
func (c *cluster) sendOrders(count int, pause time.Duration) map[string][]caller.Result {
	resultsByKey := make(map[string][]caller.Result)
	var mu sync.Mutex
	var orders sync.WaitGroup
	for i := range count {
		key := fmt.Sprintf("order-%d", i)
		first, second := c.entries[i%len(c.entries)], c.entries[(i+1)%len(c.entries)]
		orders.Go(func() {
			var attempts sync.WaitGroup
			for _, e := range []*entryHost{first, second} {
				attempts.Go(func() {
					r := c.order(e, key, orderTimeout)
					mu.Lock()
					defer mu.Unlock()
					resultsByKey[key] = append(resultsByKey[key], r)
				})
			}
			attempts.Wait()
		})
		time.Sleep(pause)
	}
	orders.Wait()
	return resultsByKey
}

// resend sends every order once more, appends the results to resultsByKey, and returns how many of these are completed.
func (c *cluster) resend(resultsByKey map[string][]caller.Result) int {
	completed := 0
	for key := range resultsByKey {
		r := c.order(c.entries[0], key, orderTimeout)
		resultsByKey[key] = append(resultsByKey[key], r)
		if r.Outcome == outcome.Completed {
			completed++
		}
	}
	return completed
}

// TestOrdersUnderFaults guards against orders that run twice, and against orders that run although a caller was told
// that they did not. Callers send each order through two entry hosts at the same time while the store, the service or a
// host fails, and once more after the fault has ended.
func TestOrdersUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		inject  func(c *cluster)
		restore func(c *cluster)
	}{
		{"store down", func(c *cluster) { c.setPlatformFaults(platformapi.Faults{Down: true}) }, fixPlatform},
		{"store hangs", func(c *cluster) { c.setPlatformFaults(platformapi.Faults{Hang: true}) }, fixPlatform},
		{"store slow", func(c *cluster) { c.setPlatformFaults(platformapi.Faults{LateMS: 800}) }, fixPlatform},
		{"store loses answers of writes", func(c *cluster) {
			c.setPlatformFaults(platformapi.Faults{LoseWriteAnswers: 40})
		}, fixPlatform},
		{"store reads lag", func(c *cluster) { c.setPlatformFaults(platformapi.Faults{StaleReads: true}) }, fixPlatform},
		{"store killed", func(c *cluster) { c.platform.kill() }, func(c *cluster) {}},
		{"service breaks after it ran", func(c *cluster) {
			c.post(c.serviceAddr, "/faults", service.Faults{BreakAfterRun: 10})
		}, fixService},
		{"service late", func(c *cluster) { c.post(c.serviceAddr, "/faults", service.Faults{LateMS: 5000}) }, fixService},
		{"service refuses", func(c *cluster) { c.post(c.serviceAddr, "/faults", service.Faults{Refuse: true}) }, fixService},
		{"host killed, answers of writes lost", func(c *cluster) {
			c.post(c.serviceAddr, "/faults", service.Faults{LateMS: 1000})
			c.setPlatformFaults(platformapi.Faults{LoseWriteAnswers: 20})
			time.AfterFunc(700*time.Millisecond, c.entries[1].kill)
		}, func(c *cluster) {
			fixPlatform(c)
			fixService(c)
			<-c.entries[1].exited
			c.entries[1].start()
			c.awaitReady(c.entries[1])
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := startCluster(t, 2)
			if r := c.order(c.entries[0], "warm", orderTimeout); r.Outcome != outcome.Completed {
				t.Fatalf("an order without faults: %s %s %s", r.Outcome, r.Kind, r.Body)
			}
			tt.inject(c)
			resultsByKey := c.sendOrders(30, 100*time.Millisecond)
			c.checkOrderRuns(resultsByKey)
			c.checkNotRun(resultsByKey)
			tt.restore(c)
			time.Sleep(time.Second)
			t.Logf("%d completed when sent again afterwards", c.resend(resultsByKey))
			c.checkOrderRuns(resultsByKey)
		})
	}
}

// fixPlatform ends all faults of the platform.
func fixPlatform(c *cluster) { c.setPlatformFaults(platformapi.Faults{}) }

// fixService ends all faults of the service.
func fixService(c *cluster) { c.post(c.serviceAddr, "/faults", service.Faults{}) }
