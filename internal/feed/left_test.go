package feed

import (
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// fleet is a store and hosts that read it or hear of each other's reads, in virtual time.
type fleet struct {
	now   time.Time
	store *fakeStore
	hosts []*Cache
	sent  int // states that hosts have sent each other
}

func newFleet(t *testing.T, hosts int, ids ...string) *fleet {
	t.Helper()
	f := &fleet{now: time.Unix(1000, 0), store: &fakeStore{revision: 1}}
	for _, id := range ids {
		f.store.replicas = append(f.store.replicas, replica.Replica{ID: id, Born: 7})
	}
	for range hosts {
		c := newCache(t)
		c.Store = f.store
		c.now = func() time.Time { return f.now }
		f.hosts = append(f.hosts, c)
		f.read(t, c)
	}
	return f
}

// read lets a host read the replicas from the store.
func (f *fleet) read(t *testing.T, c *Cache) {
	t.Helper()
	err := c.readReplicas(t.Context())
	if (err != nil) != (f.store.err != nil) {
		t.Fatalf("read failed with %v, store with %v", err, f.store.err)
	}
}

// fail lets a host try to read the store, which doesn't answer this host.
func (f *fleet) fail(t *testing.T, c *Cache) {
	t.Helper()
	f.store.err = errors.New("no answer")
	f.read(t, c)
	f.store.err = nil
}

// send lets a host send its state to another one. Times appear earlier to the receiver by the varying time in transit.
func (f *fleet) send(from, to *Cache) {
	const longestTransit = 50
	f.sent++
	transit := time.Duration(f.sent*17%longestTransit) * time.Millisecond
	to.Import(f.now.Add(-transit), from.Export(f.now, to.Versions()))
}

// exchange lets two hosts send each other their states until both have had the other's answer.
func (f *fleet) exchange(a, b *Cache) {
	for range 2 {
		f.send(a, b)
		f.send(b, a)
	}
}

// remove removes the entry of a replica.
func (f *fleet) remove(id string) {
	f.store.replicas = slices.DeleteFunc(f.store.replicas, func(r replica.Replica) bool { return r.ID == id })
	f.store.revision++
}

// put writes the entry of a replica, which has run all the time.
func (f *fleet) put(id string) {
	f.store.replicas = append(f.store.replicas, replica.Replica{ID: id, Born: 7})
	f.store.revision++
}

func (c *Cache) lists(id string) bool {
	return slices.ContainsFunc(c.Replicas(), func(r replica.Replica) bool { return r.ID == id })
}

// Guards against DRAIN after a cut: a host that could read nothing for a while takes that for an outage of the store, keeps a
// replica that has left meanwhile, and the hosts that saw it leave take it back.
func TestHostThatWasCutOffBringsNoReplicaBack(t *testing.T) {
	f := newFleet(t, 2, "stays", "leaves")
	inTouch, cut := f.hosts[0], f.hosts[1]
	for step := range 7 {
		f.now = f.now.Add(500 * time.Millisecond)
		if step == 3 {
			f.remove("leaves")
		}
		f.read(t, inTouch)
		f.fail(t, cut)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.read(t, cut)
	f.send(cut, inTouch)
	if inTouch.lists("leaves") {
		t.Error("a host that saw the replica leave has it back from one that was cut off")
	}
	f.exchange(cut, inTouch)
	if cut.lists("leaves") || !cut.lists("stays") {
		t.Errorf("the host that was cut off lists %v", cut.Replicas())
	}
}

// The same where the replica leaves between the last read of the host in touch and the first one of the host that was cut off.
func TestReplicaThatLeavesAtTheEndOfACutIsGone(t *testing.T) {
	f := newFleet(t, 2, "stays", "leaves")
	inTouch, cut := f.hosts[0], f.hosts[1]
	for range 7 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.read(t, inTouch)
		f.fail(t, cut)
	}
	f.remove("leaves")
	f.now = f.now.Add(100 * time.Millisecond)
	f.read(t, cut)
	f.send(cut, inTouch)
	if inTouch.lists("leaves") || !inTouch.lists("stays") {
		t.Errorf("the host in touch lists %v", inTouch.Replicas())
	}
	f.exchange(cut, inTouch)
	if cut.lists("leaves") {
		t.Error("the host that was cut off lists the replica that has left")
	}
}

// Guards against DRAIN after the loss of the planner and its standbys: nobody has read the store until the other hosts notice
// that, but it has answered whoever asked.
func TestPauseOfReadersIsNoOutage(t *testing.T) {
	f := newFleet(t, 1, "stays", "leaves")
	f.remove("leaves")
	f.now = f.now.Add(2400 * time.Millisecond)
	f.read(t, f.hosts[0])
	if f.hosts[0].lists("leaves") {
		t.Error("a replica that has left is kept since nobody has read the store for a while")
	}
}

// outage lets the store answer nobody for 4 s, in which entries expire, and the first host read it then.
func (f *fleet) outage(t *testing.T, expired string) {
	t.Helper()
	for range 8 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.fail(t, f.hosts[0])
	}
	f.remove(expired)
	f.read(t, f.hosts[0])
}

// Guards against sound replicas that are lost when the planner changes just after an outage of the store: their entries have
// expired, and the new planner's first read isn't one after an outage.
func TestExpiredEntriesAreKeptWhenPlannerChanges(t *testing.T) {
	f := newFleet(t, 3, "present", "expired")
	f.outage(t, "expired")
	f.send(f.hosts[0], f.hosts[1])
	f.send(f.hosts[1], f.hosts[2])
	for step := range 4 {
		f.now = f.now.Add(450 * time.Millisecond)
		f.read(t, f.hosts[1])
		f.send(f.hosts[1], f.hosts[2])
		if !f.hosts[1].lists("expired") || !f.hosts[2].lists("expired") {
			t.Fatalf("read %d after the outage: a replica that may renew its entry is gone", step+1)
		}
	}
	f.now = f.now.Add(450 * time.Millisecond)
	f.read(t, f.hosts[1])
	f.send(f.hosts[1], f.hosts[2])
	if f.hosts[1].lists("expired") || f.hosts[2].lists("expired") {
		t.Error("a replica without an entry is kept over 2 s after the outage")
	}
}

func TestRenewedEntryIsKeptForGood(t *testing.T) {
	f := newFleet(t, 2, "present", "expired")
	f.outage(t, "expired")
	f.send(f.hosts[0], f.hosts[1])
	f.put("expired")
	for range 8 {
		f.now = f.now.Add(450 * time.Millisecond)
		f.read(t, f.hosts[1])
		f.exchange(f.hosts[0], f.hosts[1])
		if !f.hosts[0].lists("expired") || !f.hosts[1].lists("expired") {
			t.Fatal("a replica that has renewed its entry is gone")
		}
	}
}

// Guards against DRAIN at a host that learns of a restore of the store from others and reads the store much later: it takes that
// read for the first one since the restore.
func TestRestoreThatIsLongAgoKeepsNoReplica(t *testing.T) {
	f := newFleet(t, 2, "stays", "leaves")
	f.store.era = 1
	f.now = f.now.Add(500 * time.Millisecond)
	f.read(t, f.hosts[0])
	f.send(f.hosts[0], f.hosts[1])
	for range 20 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.read(t, f.hosts[0])
		f.send(f.hosts[0], f.hosts[1])
	}
	f.remove("leaves")
	f.now = f.now.Add(500 * time.Millisecond)
	f.read(t, f.hosts[1])
	if f.hosts[1].lists("leaves") {
		t.Error("a replica that has left is kept for a restore that all hosts knew of")
	}
}
