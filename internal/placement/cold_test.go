package placement

import (
	"bytes"
	"compress/flate"
	"net/netip"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

var coldReplica = replica.Replica{ID: "r", Service: "orders", Slots: 1}

// knowColdServices lets clients know of a service whose replicas are cold after their start.
func knowColdServices(clients ...*Client) {
	for _, c := range clients {
		c.mu.Lock()
		c.localPlanner.Limits().Cold.SetServices(map[string]ratelimit.ColdService{"orders": {Start: 3 * time.Second, PerSecond: 15}})
		c.mu.Unlock()
	}
}

// What a replica tells one host, or the reader of its entry, reaches the planner at once, and the hosts of the planner with the
// heartbeats. Guards against a host that goes on sending to a cold replica because only another host knows.
func TestColdStatementReachesAllHosts(t *testing.T) {
	host, first, second, _ := newFleet(t)
	knowColdServices(host, first, second)
	host.mu.Lock()
	for _, p := range host.outbound {
		p.lastStamp, p.lastStampAt = steady.Now().UnixNano(), steady.Now() // as if the other host had replied before
	}
	host.mu.Unlock()
	host.NamedCold(coldReplica, steady.Now(), time.Minute)
	waitUntil(t, "the planner knows that the replica is cold", func() bool { return first.isCold(coldReplica) })
	host.mu.Lock()
	for _, p := range host.outbound {
		host.sendHeartbeat(steady.Now(), p, false)
	}
	host.mu.Unlock()
	waitUntil(t, "the other host knows that the replica is cold", func() bool { return second.isCold(coldReplica) })
}

// Guards against plans for cold replicas that are sent late, or that a planner made which didn't know that the replica is cold.
func TestPlansForColdReplicas(t *testing.T) {
	c := newTestClient(1)
	knowColdServices(c)
	plan := func(limited, cold bool) planner.Result {
		return planner.Result{Plan: &planner.Plan{Replica: coldReplica, RateLimited: limited, Cold: cold}}
	}
	for _, test := range []struct {
		name  string
		plan  planner.Result
		age   time.Duration
		known bool // the host knows that the replica is cold
		want  bool
	}{
		{"warm", plan(false, false), 0, false, true},
		{"the planner didn't know", plan(false, false), 0, true, false},
		{"limited, the planner didn't know", plan(true, false), 0, true, false},
		{"at once", plan(true, true), 0, true, true},
		{"the host doesn't know", plan(true, true), 0, false, true},
		{"late", plan(true, true), 300 * time.Millisecond, true, false},
		{"late, the host doesn't know", plan(true, true), 300 * time.Millisecond, false, false},
	} {
		remaining := time.Duration(0)
		if test.known {
			remaining = time.Minute
		}
		c.NamedCold(coldReplica, steady.Now(), remaining)
		test.plan.SendBefore = steady.Now().Add(planTime(&test.plan) - test.age)
		if got := c.MaySend(test.plan); got != test.want {
			t.Errorf("%s: may be sent: %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a host that counts at two planners at once, when it leaves one for the other, and against one that counts at
// none for longer than needed.
func TestHostCountsAtOnePlanner(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		follow  func(f *followed)
		settled time.Duration // after now
	}{
		{"has just started", func(f *followed) { f.otherHeard = now }, followTime},
		{"leaves a silent planner", func(f *followed) {
			f.heard(now.Add(-followTime))
			f.leave(now, "a", false)
		}, 0},
		{"leaves a planner that it hears", func(f *followed) {
			f.heard(now.Add(-100 * time.Millisecond))
			f.leave(now, "a", false)
		}, followTime - 100*time.Millisecond},
		{"leaves a planner that it has never heard", func(f *followed) { f.leave(now, "a", false) }, followTime},
		{"leaves a planner that confirms it", func(f *followed) {
			f.heard(now.Add(-200 * time.Millisecond))
			f.leave(now.Add(-100*time.Millisecond), "a", false)
			f.confirmed("a", now.Add(-50*time.Millisecond))
		}, 0},
		{"another host confirms, or the planner what was sent before", func(f *followed) {
			f.heard(now)
			f.leave(now, "a", false)
			f.confirmed("b", now)
			f.confirmed("a", now.Add(-time.Millisecond))
		}, followTime},
		{"one of two planners confirms", func(f *followed) {
			f.heard(now)
			f.leave(now, "a", false)
			f.heard(now)
			f.leave(now, "b", false)
			f.confirmed("b", now)
		}, followTime},
		{"was its own planner", func(f *followed) { f.leave(now, "self", true) }, 0},
	} {
		f := followed{otherHeard: now.Add(-time.Hour)}
		test.follow(&f)
		planners := newFollowers()
		planners.record("host", now, true)
		planners.settle(now, "host", f.sinceOther(now))
		const margin = time.Millisecond
		before := planners.settledShare(now.Add(test.settled-margin), 1, false)
		planners.record("host", now.Add(time.Second), true)
		after := planners.settledShare(now.Add(test.settled+margin), 1, false)
		if test.settled > 0 && before > 0 || after < 1 {
			t.Errorf("%s: share %v before %v, %v after", test.name, before, test.settled, after)
		}
	}
}

// Guards against a host that has just started, knows no other one yet and spends the rate of a cold replica as if it were alone.
func TestStartedHostTakesHostsForMany(t *testing.T) {
	c := newTestClient(1)
	knowColdServices(c)
	c.NamedCold(coldReplica, steady.Now(), time.Hour)
	rate := func(uptime time.Duration) float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		now := c.startedAt.Add(uptime)
		c.updateLimitShare(now)
		return c.localPlanner.Limits().Cold.Rate(now, coldReplica)
	}
	const perSecond = 15
	if got := rate(time.Second); got <= 0 || got > perSecond/float64(assumedHosts) {
		t.Errorf("%v requests a second after a second, want at most the share of one of %d hosts", got, assumedHosts)
	}
	if got := rate(time.Minute); got < perSecond/2 {
		t.Errorf("%v requests a second after a minute alone", got)
	}
}

// Guards against a rush on the replicas of a failure domain whose evacuation has just ended: they may have become cold, and their
// entries don't say so yet.
func TestReplicasAreExpectedColdAfterEvacuation(t *testing.T) {
	c := newTestClient(1)
	c.Cache.EvacuationTime = time.Second
	c.Cache.Decode = func([]byte) (*catalog.Configuration, error) {
		orders := &catalog.Service{Name: "orders", ColdStart: 3 * time.Second, ColdRate: 15}
		return catalog.New(1, catalog.Limits{}, nil, []*catalog.Service{orders}, nil, false), nil
	}
	var document bytes.Buffer
	w, _ := flate.NewWriter(&document, flate.BestSpeed)
	_ = w.Close()
	r := coldReplica
	r.FailureDomain, r.Address = "a", netip.MustParseAddrPort("10.9.0.1:80")
	apply := func(revision int64, evacuated ...string) {
		c.Cache.Import(steady.Now(), feed.State{
			ConfigRevision: 1, ConfigVersion: 1, ConfigData: document.Bytes(),
			ReplicaRevision: revision, HasReplicas: true, Replicas: []replica.Replica{r},
			EvacuationRevision: revision, Evacuated: evacuated,
		})
		c.ApplyState()
	}
	apply(1, "a")
	c.NamedCold(r, steady.Now(), 0)
	if c.isCold(r) {
		t.Fatal("cold during the evacuation, though the replica says that it is warm")
	}
	apply(2)
	if !c.isCold(r) {
		t.Error("not expected to be cold after the evacuation")
	}
}
