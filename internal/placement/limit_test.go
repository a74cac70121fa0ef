package placement

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

var limitedReplica = replica.Replica{ID: "r", Service: "orders", Slots: 1}

// awaitPlan waits until the request with the given ID has a result.
func awaitPlan(t *testing.T, replies chan reply) planner.Result {
	t.Helper()
	select {
	case r := <-replies:
		return r.result
	case <-time.After(2 * time.Second):
		t.Fatal("no result")
		return planner.Result{}
	}
}

// A host was frozen with a plan for a limited replica unread (incident LIMIT): when it continues, the plan is old, since the
// planner says when it sent it by a stamp of the host's own clock.
func TestPlanThatIsReadLateIsNotSent(t *testing.T) {
	const frozen = 3 * time.Second
	c := newTestClient(1)
	plan := planner.Result{ID: "1", Plan: &planner.Plan{Replica: limitedReplica, RateLimited: true}}
	for _, test := range []struct {
		name string
		sent link.Result
		want bool
	}{
		{"at once", link.Result{Result: plan, Stamp: steady.Now().UnixNano(), SinceStamp: 0}, true},
		{"after a heartbeat", link.Result{
			Result: plan, Stamp: steady.Now().Add(-time.Second).UnixNano(), SinceStamp: time.Second,
		}, true},
		{"late", link.Result{Result: plan, Stamp: steady.Now().Add(-frozen).UnixNano(), SinceStamp: time.Second}, false},
		{"by a planner that knows no heartbeat", link.Result{Result: plan}, false},
	} {
		pending := newPendingRequest(planner.Request{ID: "1"}, steady.Now())
		c.mu.Lock()
		c.pending["1"] = pending
		c.deliverFromPlanner(&test.sent)
		c.mu.Unlock()
		if got := c.MaySend(awaitPlan(t, pending.replies)); got != test.want {
			t.Errorf("%s: may be sent: %v, want %v", test.name, got, test.want)
		}
	}
}

// The planner doesn't know of a limit that the replica has told this host: its plan isn't sent.
func TestPlanWithoutLimitIsNotSentToLimitedReplica(t *testing.T) {
	c := newTestClient(1)
	plan := planner.Result{ID: "1", Plan: &planner.Plan{Replica: limitedReplica}, SendBefore: steady.Now().Add(time.Hour)}
	if !c.MaySend(plan) {
		t.Error("a plan for a replica without a limit isn't sent")
	}
	c.NamedLimit(limitedReplica, steady.Now(), true, 5)
	if c.MaySend(plan) {
		t.Error("the plan of a planner that knows of no limit is sent")
	}
}

// What a replica tells one host reaches the planner at once, and the hosts of the planner with the heartbeats.
func TestLimitReachesAllHosts(t *testing.T) {
	host, first, second, toFirst := newFleet(t)
	host.NamedLimit(limitedReplica, steady.Now(), true, 5)
	waitUntil(t, "the planner knows of the limit", func() bool { return first.isLimited(limitedReplica) })
	host.mu.Lock()
	for _, p := range host.outbound {
		p.lastStamp = 1 // as if the other host had replied before
		host.sendHeartbeat(steady.Now(), p, false)
	}
	host.mu.Unlock()
	waitUntil(t, "the other host knows of the limit", func() bool { return second.isLimited(limitedReplica) })
	host.NamedLimit(limitedReplica, steady.Now(), false, 0)
	waitUntil(t, "the planner knows that it has ended", func() bool { return !first.isLimited(limitedReplica) })
	_ = toFirst
}

// A host that places a request in place of its planner, which doesn't reply, spends nothing of a limit; nor does one that
// was its own planner before.
func TestOnlyPlannersSpendLimits(t *testing.T) {
	c := newTestClient(1)
	now := steady.Now()
	c.startedAt = now.Add(-time.Minute)
	c.NamedLimit(limitedReplica, now, true, 100)
	c.updateLimitShare(now)
	later := now.Add(900 * time.Millisecond)
	if !c.localPlanner.Limits().MayTake(later, limitedReplica) {
		t.Error("a planner of its own has no share")
	}
	_, other := newTestClient(1), newTestClient(2)
	c.Roster.RecordHeartbeat(later, other.Roster.Self())
	c.Roster.SetStopping()
	c.mu.Lock()
	c.choosePlanner(later)
	c.mu.Unlock()
	if c.IsPlanner() || c.localPlanner.Limits().MayTake(later.Add(time.Millisecond), limitedReplica) {
		t.Error("a host that another one plans for spends the limit")
	}
}

// Guards against a planner that counts hosts as its followers by heartbeats that were sent before it was frozen.
func TestFollowersEndWithFreeze(t *testing.T) {
	f := newFollowers()
	now := time.Unix(1000, 0)
	for _, host := range []string{"a", "b", "c"} {
		f.record(host, now, true)
	}
	if share := f.share(now.Add(time.Second), 8); share != 0.5 {
		t.Errorf("share %v with three followers of eight hosts, want 0.5", share)
	}
	now = now.Add(10 * time.Second)
	f.record("a", now.Add(-10*time.Second), true) // read after the freeze, sent before it
	f.record("b", now, true)
	f.record("c", now, false)
	if share := f.share(now, 8); share != 0.25 {
		t.Errorf("share %v with one follower of eight hosts, want 0.25", share)
	}
}

// Guards against planners that spend a limit in full each while a cut of the network lasts, after their hosts have
// forgotten the other side.
func TestCutOffHostsKeepTheirShare(t *testing.T) {
	c := newTestClient(1)
	now := steady.Now()
	c.startedAt = now.Add(-time.Minute)
	for last := byte(2); last <= 4; last++ {
		c.Roster.RecordHeartbeat(now, newTestClient(last).Roster.Self())
	}
	c.updateLimitShare(now)
	c.NamedLimit(limitedReplica, now, true, 4)
	for d := time.Duration(0); d < 2*time.Minute; d += heartbeatInterval {
		c.Roster.ExpireSilent(now.Add(d))
		c.hostCount.record(now.Add(d), c.Roster.Size())
		c.updateLimitShare(now.Add(d))
	}
	if rate := c.localPlanner.Limits().Rate(now.Add(2*time.Minute), limitedReplica); rate != 1 {
		t.Errorf("%v requests a second after two minutes alone, want 1: a fourth of the limit", rate)
	}
}

// Guards against a planner that has just started and spends limits as if the few hosts that it has found were all, and
// against one that leaves them unspent although it knows its hosts.
func TestStartedPlannerSpendsLimitsOnceItKnowsHosts(t *testing.T) {
	f := newFollowers()
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		at    time.Duration
		count int
		want  bool
	}{
		{0, 1, false},
		{time.Second, 1, false},
		{1400 * time.Millisecond, 9, false},
		{1600 * time.Millisecond, 9, false},
		{2500 * time.Millisecond, 9, true},
		{3 * time.Second, 10, false},
		{5 * time.Second, 10, true},
		{7 * time.Second, 11, true},
	} {
		now := start.Add(test.at)
		f.recordHosts(now, test.count)
		if got := f.knowsHosts(now, start); got != test.want {
			t.Errorf("after %v with %d hosts: knows them: %v, want %v", test.at, test.count, got, test.want)
		}
	}
}
