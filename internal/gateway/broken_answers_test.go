package gateway_test

import (
	"fmt"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// Limits of what an entry host may take of a response without end.
const (
	maxEndlessHead = 1 << 20 // bytes of a head
	maxEndlessBody = 8 << 20 // bytes of a body
	transitBytes   = 8 << 20 // bytes that the systems of both sides may hold when the host closes the connection
)

// faultOnEachAttempt makes replicas apply kind to all requests but those that end in /warm.
func faultOnEachAttempt(kind replica.Fault) *faultInjector {
	f := &faultInjector{}
	f.set(func(_ string, r *http.Request) replica.Fault {
		if strings.HasSuffix(r.URL.Path, "/warm") {
			return replica.FaultNone
		}
		return kind
	})
	return f
}

// Guards against taking a sound replica that falls silent and goes on for a broken one: callers get complete responses,
// and what must not be retried runs once.
func TestBriefSilenceOfReplicaEndsNoResponse(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]replica.Fault{
		"start": replica.FaultSilentStart, "middle": replica.FaultSilentMiddle,
	} {
		for attempts, inject := range map[string]func(replica.Fault) *faultInjector{
			"first attempt": faultOnFirstAttempt, "each attempt": faultOnEachAttempt,
		} {
			t.Run(name+" "+attempts, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 2, inject(fault))
				defer c.logOnFailure()
				order := c.post(0, "/orders/1", "o")
				c.wantResponse(order, replica.PlainResponse("/orders/1", "o"))
				if n := c.log.Runs(order.id); n != 1 {
					t.Errorf("the order ran %d times", n)
				}
				quote := c.post(1, "/quotes/1", "q")
				c.wantResponse(quote, completeStream(quote.id))
				lookup := c.get(1, "/lookups/1", nil)
				if lookup.status == http.StatusGatewayTimeout && attempts == "each attempt" {
					return // the silences of two replicas last longer than the route allows
				}
				c.wantResponse(lookup, replica.PlainResponse("/lookups/1", ""))
			})
		}
	}
}

// Guards against taking a response that ends with its connection for a broken one.
func TestResponsesWithoutLengthAreForwardedComplete(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, faultOnEachAttempt(replica.FaultNoLength))
	defer c.logOnFailure()
	for i := range 10 {
		order := c.post(i%2, "/orders/1", "o")
		c.wantResponse(order, replica.PlainResponse("/orders/1", "o"))
		c.wantResponse(c.get(i%2, "/lookups/1", nil), replica.PlainResponse("/lookups/1", ""))
		quote := c.post(i%2, "/quotes/1", "q")
		c.wantResponse(quote, completeStream(quote.id))
		for _, id := range []string{order.id, quote.id} {
			if n := c.log.Runs(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	}
}

// Guards against taking a stream that ends properly inside an event for complete: it goes on at another replica, or the
// caller sees that it was broken off.
func TestStreamThatEndsInsideEventIsBrokenOff(t *testing.T) {
	t.Parallel()
	for _, fault := range []replica.Fault{replica.FaultEndInEvent, replica.FaultEndInEventNoLength} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, faultOnFirstAttempt(fault))
			defer c.logOnFailure()
			resp := c.post(0, "/quotes/1", "q")
			c.wantResponse(resp, completeStream(resp.id))
			if n := c.log.Runs(resp.id); n != 2 {
				t.Errorf("the request ran %d times, want 2", n)
			}
			c = newCluster(t, 1, faultOnEachAttempt(fault))
			resp = c.post(0, "/quotes/1", "q")
			whole := completeStream(resp.id)
			if resp.err == nil || !strings.HasPrefix(whole, resp.body) || !strings.HasSuffix(resp.body, "\n\n") {
				t.Errorf("status %d, error %v, body %q: want an error after complete events", resp.status, resp.err, resp.body)
			}
		})
	}
}

// wantCut checks that a response without end is cut early: what may be retried is served by another replica well before
// the deadline, what must not be retried fails, and no more than limit bytes of one response are taken. Replicas send
// piece bytes at a time; 0 for the usual number.
func wantCut(t *testing.T, fault replica.Fault, piece int, limit int64) {
	t.Helper()
	c := newCluster(t, 1, faultOnFirstAttempt(fault))
	defer c.logOnFailure()
	for _, r := range c.replicas {
		r.EndlessPiece = piece
	}
	lookup := c.get(0, "/lookups/1", nil)
	c.wantResponse(lookup, replica.PlainResponse("/lookups/1", ""))
	if lookup.took > time.Second {
		t.Errorf("the lookup took %v of the 1.5 s that its route allows", lookup.took)
	}
	quote := c.post(0, "/quotes/1", "q")
	c.wantResponse(quote, completeStream(quote.id))
	if quote.took > 5*time.Second {
		t.Errorf("the quote took %v of 10 s", quote.took)
	}
	order := c.post(0, "/orders/1", "o")
	failed := order.status == http.StatusBadGateway || order.status == http.StatusGatewayTimeout
	if !failed || c.log.Runs(order.id) != 1 {
		t.Errorf("order: status %d after %d runs, want 502 or 504 after 1", order.status, c.log.Runs(order.id))
	}
	time.Sleep(100 * time.Millisecond) // for the replica to notice the closed connection
	for _, r := range c.replicas {
		if n := r.EndlessBytes(); n > limit {
			t.Errorf("%s: the host took %d bytes of one response, want at most %d", r.ID, n, limit)
		}
	}
}

// wantBoundedMemory checks that the process's memory stays limited while responses without end arrive, of each of which
// the host may keep limit bytes. It measures the memory of the whole process.
func wantBoundedMemory(t *testing.T, fault replica.Fault, limit int64) {
	t.Helper()
	const concurrent = 4
	c := newCluster(t, 1, faultOnEachAttempt(fault))
	before := liveHeap()
	stop := make(chan struct{})
	highest := make(chan uint64)
	go func() {
		most := before
		for {
			select {
			case <-stop:
				highest <- most
				return
			case <-time.After(50 * time.Millisecond):
				most = max(most, liveHeap())
			}
		}
	}()
	var all sync.WaitGroup
	for range concurrent {
		all.Add(1)
		go func() {
			defer all.Done()
			resp := c.post(0, "/orders/1", "o")
			if resp.err == nil && resp.status < http.StatusInternalServerError {
				t.Errorf("%s: status %d", resp.id, resp.status)
			}
		}()
	}
	all.Wait()
	close(stop)
	// io.ReadAll allocates up to two and a half times the content, with the race detector one copy more; the rest of the
	// process takes a little too.
	allowed := uint64(concurrent*4*limit) + 4<<20
	if grown := <-highest - before; grown > allowed {
		t.Errorf("the memory grew by %d MiB, want at most %d MiB", grown>>20, allowed>>20)
	}
}

// liveHeap collects garbage and returns the size of the heap after that.
func liveHeap() uint64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Guards against reading a body without end until the caller's deadline.
func TestBodyWithoutEndIsCut(t *testing.T) {
	t.Parallel()
	wantCut(t, replica.FaultEndlessBody, 0, maxEndlessBody+transitBytes)
}

// Guards against a host that runs out of memory on bodies without end. The test isn't parallel, because it measures the
// memory of the whole process.
func TestBodiesWithoutEndTakeBoundedMemory(t *testing.T) {
	wantBoundedMemory(t, replica.FaultEndlessBody, maxEndlessBody)
}

// Guards against reading a head without end until the deadline, and against keeping all of it in memory.
func TestHeadWithoutEndIsCut(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]replica.Fault{"line": replica.FaultEndlessLine, "fields": replica.FaultEndlessHead} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantCut(t, fault, 0, maxEndlessHead+transitBytes)
		})
	}
}

// Guards against a host that runs out of memory on heads without end. The test isn't parallel, because it measures the
// memory of the whole process.
func TestHeadsWithoutEndTakeBoundedMemory(t *testing.T) {
	for name, fault := range map[string]replica.Fault{"line": replica.FaultEndlessLine, "fields": replica.FaultEndlessHead} {
		t.Run(name, func(t *testing.T) { wantBoundedMemory(t, fault, maxEndlessHead) })
	}
}

// Guards against waiting until the deadline for the final response of a replica that sends intermediate responses
// without end.
func TestIntermediateResponsesWithoutEndAreCut(t *testing.T) {
	t.Parallel()
	wantCut(t, replica.FaultEndlessIntermediate, 0, maxEndlessHead+transitBytes)
}

// slowPiece is the number of bytes at a time of a response without end that is slow but never falls silent.
const slowPiece = 64

// Guards against reading a slow head without end until the caller's deadline.
func TestSlowHeadWithoutEndIsCut(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]replica.Fault{"line": replica.FaultEndlessLine, "fields": replica.FaultEndlessHead} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantCut(t, fault, slowPiece, maxEndlessHead)
		})
	}
}

// Guards against reading a slow body without end until the caller's deadline.
func TestSlowBodyWithoutEndIsCut(t *testing.T) {
	t.Parallel()
	wantCut(t, replica.FaultEndlessBody, slowPiece, maxEndlessBody)
}
