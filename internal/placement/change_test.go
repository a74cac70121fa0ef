package placement

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/roster"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// newTestClient returns the client of the host at 10.0.0.last:80, whose local planner knows one replica with one slot.
func newTestClient(last byte) *Client {
	log := eventlog.New(io.Discard, "h")
	cache := &feed.Cache{Metrics: tally.NoopScope, Log: log}
	cache.Init()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80)
	c := &Client{
		Roster: roster.New(steady.Now(), roster.Member{Address: address, Weight: 1}, nil), Cache: cache,
		Log: log, Metrics: tally.NoopScope,
	}
	c.Init()
	c.localPlanner.SetReplicas(steady.Now(), []replica.Replica{{ID: "r", Service: "orders", Slots: 1}})
	return c
}

// connect opens a link from one client to another, each of which has heard from the other one, and returns its two ends.
func connect(t *testing.T, from, to *Client) (outbound, inbound *peerLink) {
	t.Helper()
	near, far := net.Pipe()
	outbound = &peerLink{link: link.New(near), address: to.self(), host: to.self().String()}
	inbound = &peerLink{link: link.New(far), address: from.self(), host: from.self().String()}
	now := steady.Now()
	from.outbound[to.self()] = outbound
	from.Roster.RecordHeartbeat(now, to.Roster.Self())
	to.inbound[inbound], to.hostLink[inbound.host] = true, inbound
	to.Roster.RecordHeartbeat(now, from.Roster.Self())
	go from.serve(outbound)
	go to.serve(inbound)
	t.Cleanup(func() {
		outbound.link.Close()
		inbound.link.Close()
	})
	return outbound, inbound
}

// waitUntil fails the test if the condition isn't met within two seconds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// newFleet returns the clients of a host and of the two hosts that the host chooses as planners, one after the other.
func newFleet(t *testing.T) (host, first, second *Client, toFirst *peerLink) {
	t.Helper()
	host = newTestClient(1)
	host.Roster.SetStopping() // so that it isn't its own planner
	others := map[netip.AddrPort]*Client{}
	links := map[netip.AddrPort]*peerLink{}
	for last := byte(2); last <= 3; last++ {
		c := newTestClient(last)
		others[c.self()] = c
		links[c.self()], _ = connect(t, host, c)
	}
	host.mu.Lock()
	host.choosePlanner(steady.Now())
	address := host.plannerAddress
	host.mu.Unlock()
	for a, c := range others {
		if a != address {
			second = c
		}
	}
	return host, others[address], second, links[address]
}

// queueOrder makes the planner's only slot busy and submits a request of the host, which waits there. The request's
// result arrives on the returned channel.
func queueOrder(t *testing.T, host, at *Client) chan planner.Result {
	t.Helper()
	at.mu.Lock()
	at.localPlanner.Submit(steady.Now(), planner.Request{ID: "busy", Host: "other", Service: "orders", Deadline: time.Minute})
	at.localPlanner.Decide(steady.Now())
	at.mu.Unlock()
	results := make(chan planner.Result, 1)
	go func() {
		result, err := host.Place(context.Background(),
			planner.Request{ID: "1", Service: "orders", Deadline: 10 * time.Second})
		if err == nil {
			results <- result
		}
	}()
	waitUntil(t, "the request waits", func() bool { return at.Waiting() == 1 })
	return results
}

// mustPlan fails the test if no plan arrives within two seconds.
func mustPlan(t *testing.T, results chan planner.Result) {
	t.Helper()
	select {
	case result := <-results:
		if result.Plan == nil {
			t.Fatalf("result %+v", result)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("no result from the next planner")
	}
}

// Requests wait at a planner that is lost. The next planner must be asked to place them: their callers would otherwise
// wait until their deadlines.
func TestWaitingRequestsMoveToNextPlanner(t *testing.T) {
	host, first, second, toFirst := newFleet(t)
	results := queueOrder(t, host, first)
	toFirst.link.Close()
	mustPlan(t, results)
	second.mu.Lock()
	defer second.mu.Unlock()
	if second.localPlanner.Waiting() != 0 {
		t.Error("the request still waits")
	}
}

// A planner that hosts leave, because it stops soon, must not keep their requests in its queue.
func TestPlannerThatIsLeftDropsRequests(t *testing.T) {
	host, first, _, _ := newFleet(t)
	results := queueOrder(t, host, first)
	first.mu.Lock()
	first.Roster.SetStopping() // which it also says in its reply to the heartbeat with which the host leaves it
	first.mu.Unlock()
	stopping := first.Roster.Self()
	host.mu.Lock()
	host.Roster.RecordHeartbeat(steady.Now(), stopping)
	host.choosePlanner(steady.Now())
	host.mu.Unlock()
	mustPlan(t, results)
	waitUntil(t, "the planner that was left forgets the request", func() bool { return first.Waiting() == 0 })
}

// Guards against a plan that nobody takes: it comes just after the host has given up waiting for its planner, and would keep its
// place there until the request's deadline.
func TestPlanThatComesWithTheTimeoutIsTaken(t *testing.T) {
	host := newTestClient(1)
	pending := newPendingRequest(planner.Request{ID: "1", Service: "orders", Deadline: time.Second}, steady.Now())
	host.mu.Lock()
	host.pending["1"] = pending
	host.deliver(planner.Result{ID: "1", Plan: &planner.Plan{Replica: replica.Replica{ID: "r"}}})
	host.mu.Unlock()
	after := host.bypassPlanner(pending)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	result, ok := host.await(ctx, after.replies, false)
	if !ok || result.ID != "1" || result.Plan == nil || result.Plan.Replica.ID != "r" {
		t.Errorf("result %+v, ok %v", result, ok)
	}
	if n := host.Waiting(); n != 0 {
		t.Errorf("%d requests wait at the local planner", n)
	}
}

// Guards against a request that waits until its deadline after its planner has sent a result with neither plan nor refusal.
func TestRequestIsPlannedHereAfterInvalidResult(t *testing.T) {
	host := newTestClient(1)
	pending := newPendingRequest(planner.Request{ID: "1", Service: "orders", Deadline: time.Second}, steady.Now())
	host.mu.Lock()
	host.pending["1"] = pending
	host.deliver(planner.Result{ID: "1"})
	host.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, ok := host.await(ctx, pending.replies, true); ok {
		t.Fatal("the result is taken for a valid one")
	}
	if after := host.bypassPlanner(pending); after.request.ID != "1"+bypassIDSuffix {
		t.Errorf("the request isn't planned here: %s", after.request.ID)
	}
}
