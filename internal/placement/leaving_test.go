package placement

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// readReplicas lets the client's cache have the list of one replica that was read at the given age.
func readReplicas(c *Client, r replica.Replica, revision int64, age time.Duration) {
	c.Cache.Import(steady.Now(), feed.State{
		ReplicaRevision: revision, ReplicaRead: -age, HasReplicas: true, Replicas: []replica.Replica{r},
	})
}

// Guards against a replica that has announced that it leaves, in use again at a host that has restarted: its own read of the store
// is newer than the lists of other hosts, so it doesn't take over theirs, in which the replica is marked.
func TestHostThatHasReadTheStoreItselfLearnsWhatLeaves(t *testing.T) {
	r := replica.Replica{ID: "r", Service: "orders", Born: 7, Slots: 1}
	for _, test := range []struct {
		name  string
		learn func(knowing, restarted *Client, outbound *peerLink)
	}{
		{"from the first heartbeats", func(_, restarted *Client, outbound *peerLink) {
			restarted.mu.Lock()
			defer restarted.mu.Unlock()
			restarted.sendHeartbeat(steady.Now(), outbound, false)
		}},
		{"as planner of a host", func(knowing, _ *Client, outbound *peerLink) {
			knowing.mu.Lock()
			defer knowing.mu.Unlock()
			knowing.syncPlanner(steady.Now(), outbound)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			knowing, restarted := newTestClient(1), newTestClient(2)
			readReplicas(knowing, r, 5, time.Second)
			if !knowing.Cache.MarkLeaving(r.ID, r.Born) {
				t.Fatal("the replica isn't marked")
			}
			readReplicas(restarted, r, 6, 0)
			from, to := restarted, knowing
			if test.name != "from the first heartbeats" {
				from, to = knowing, restarted
			}
			outbound, _ := connect(t, from, to)
			test.learn(knowing, restarted, outbound)
			waitUntil(t, "the restarted host knows what leaves", func() bool { return restarted.HasLeft(r) })
		})
	}
}

// Guards against DRAIN by plans of a planner that was cut off and doesn't know yet which replicas have left meanwhile.
func TestPlanOfStalePlannerIsDropped(t *testing.T) {
	c := newTestClient(1)
	r := replica.Replica{ID: "r", Service: "orders", Born: 7, Slots: 1}
	readReplicas(c, r, 5, time.Second)
	if c.HasLeft(r) {
		t.Fatal("a listed replica has left")
	}
	readReplicas(c, replica.Replica{ID: "other", Service: "orders", Born: 7, Slots: 1}, 6, 0)
	if !c.HasLeft(r) {
		t.Error("a plan for a replica that is gone may be sent")
	}
}
