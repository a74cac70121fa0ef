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

const orderLimit = 3 * time.Second

// sendOrders sends orders for a while, each key to two hosts at a time and again later.
func (c *cluster) sendOrders(count int, pause time.Duration) map[string][]caller.Result {
	told := make(map[string][]caller.Result)
	var mu sync.Mutex
	var sending sync.WaitGroup
	for i := range count {
		key := fmt.Sprintf("order-%d", i)
		first, second := c.entries[i%len(c.entries)], c.entries[(i+1)%len(c.entries)]
		sending.Go(func() {
			var racing sync.WaitGroup
			for _, e := range []*entryHost{first, second} {
				racing.Go(func() {
					r := c.order(e, key, orderLimit)
					mu.Lock()
					defer mu.Unlock()
					told[key] = append(told[key], r)
				})
			}
			racing.Wait()
		})
		time.Sleep(pause)
	}
	sending.Wait()
	return told
}

// resend sends every order once more, and reports how many are completed then.
func (c *cluster) resend(told map[string][]caller.Result) int {
	completed := 0
	for key := range told {
		r := c.order(c.entries[0], key, orderLimit)
		told[key] = append(told[key], r)
		if r.Outcome == outcome.Completed {
			completed++
		}
	}
	return completed
}

// TestOrdersUnderFaults sends each order to two hosts at a time while something fails, and again afterwards.
func TestOrdersUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		inject func(c *cluster)
		mend   func(c *cluster)
	}{
		{"store down", func(c *cluster) { c.platformFaults(platformapi.Faults{Down: true}) }, mendPlatform},
		{"store hangs", func(c *cluster) { c.platformFaults(platformapi.Faults{Hang: true}) }, mendPlatform},
		{"store slow", func(c *cluster) { c.platformFaults(platformapi.Faults{LateMS: 800}) }, mendPlatform},
		{"store loses answers of writes", func(c *cluster) {
			c.platformFaults(platformapi.Faults{LoseWriteAnswers: 40})
		}, mendPlatform},
		{"store reads lag", func(c *cluster) { c.platformFaults(platformapi.Faults{StaleReads: true}) }, mendPlatform},
		{"store killed", func(c *cluster) { c.platform.kill() }, func(c *cluster) {}},
		{"service breaks after it ran", func(c *cluster) {
			c.post(c.serviceAt, "/faults", service.Faults{BreakAfterRun: 10})
		}, mendService},
		{"service late", func(c *cluster) { c.post(c.serviceAt, "/faults", service.Faults{LateMS: 5000}) }, mendService},
		{"service refuses", func(c *cluster) { c.post(c.serviceAt, "/faults", service.Faults{Refuse: true}) }, mendService},
		{"host killed, answers of writes lost", func(c *cluster) {
			c.post(c.serviceAt, "/faults", service.Faults{LateMS: 1000})
			c.platformFaults(platformapi.Faults{LoseWriteAnswers: 20})
			time.AfterFunc(700*time.Millisecond, c.entries[1].kill)
		}, func(c *cluster) {
			mendPlatform(c)
			mendService(c)
			<-c.entries[1].done
			c.entries[1].start()
			c.awaitReady(c.entries[1])
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := start(t, 2)
			if r := c.order(c.entries[0], "warm", orderLimit); r.Outcome != outcome.Completed {
				t.Fatalf("an order without faults: %s %s %s", r.Outcome, r.Kind, r.Body)
			}
			tt.inject(c)
			told := c.sendOrders(30, 100*time.Millisecond)
			c.judgeOrders(told)
			c.judgeNotRun(told)
			tt.mend(c)
			time.Sleep(time.Second)
			t.Logf("%d completed when sent again afterwards", c.resend(told))
			c.judgeOrders(told)
		})
	}
}

func mendPlatform(c *cluster) { c.platformFaults(platformapi.Faults{}) }

func mendService(c *cluster) { c.post(c.serviceAt, "/faults", service.Faults{}) }
