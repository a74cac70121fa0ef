package feed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	stepTime     = 100 * time.Millisecond
	drainTime    = 2 * time.Second
	stableTime   = 3 * time.Second
	noticeTime   = 1400 * time.Millisecond // until hosts notice that another one is cut off
	fleetHosts   = 5
	cutHosts     = 2 // the first ones, which are cut off together
	maxRenewTime = 1800 * time.Millisecond
)

// drill is a fleet in virtual time whose first hosts are cut off again and again, while replicas leave and the store is
// unavailable at times.
type drill struct {
	*fleet
	cut       bool
	storeDown bool                  // and cut: nobody can read
	downEnd   time.Time             // when the store was available again
	left      map[string]time.Time  // when the entry of each replica was removed that has left
	renewAt   time.Time             // when the replica whose entry has expired renews it; zero if it has one
	heard     [fleetHosts]time.Time // when each host was last on the same side as the hosts that are never cut off
}

// planner returns the host that plans for host i: the first one that it hasn't missed for long.
func (d *drill) planner(i int) int {
	if i < cutHosts && d.cut {
		return 0
	}
	for j := range fleetHosts {
		if d.now.Sub(d.heard[j]) <= noticeTime {
			return j
		}
	}
	return fleetHosts - 1
}

// connected reports whether two hosts reach each other.
func (d *drill) connected(i, j int) bool { return !d.cut || (i < cutHosts) == (j < cutHosts) }

// readDue lets host i read the store if it is due to.
func (d *drill) readDue(t *testing.T, i int) {
	limit := time.Second + 400*time.Millisecond*time.Duration(i)
	if d.planner(i) == i {
		limit = replicaInterval
	}
	if d.now.Sub(d.hosts[i].Versions().ReplicasReadAt) < limit {
		return
	}
	if d.storeDown || d.cut && i < cutHosts {
		d.fail(t, d.hosts[i])
		return
	}
	d.read(t, d.hosts[i])
}

// step lets stepTime pass.
func (d *drill) step(t *testing.T) {
	d.now = d.now.Add(stepTime)
	if !d.renewAt.IsZero() && !d.storeDown && !d.now.Before(d.renewAt) {
		d.put("expires")
		d.renewAt = time.Time{}
	}
	for i := range fleetHosts {
		if d.connected(i, fleetHosts-1) {
			d.heard[i] = d.now
		}
		d.readDue(t, i)
		if p := d.planner(i); p != i && d.connected(i, p) {
			d.exchange(d.hosts[i], d.hosts[p])
		}
	}
}

// act begins or ends a disturbance, or lets a replica leave.
func (d *drill) act(r *rapid.T) {
	switch rapid.SampledFrom([]string{"cut", "leave", "store", "nothing"}).Draw(r, "action") {
	case "cut":
		d.cut = !d.cut
	case "leave":
		id := fmt.Sprintf("r%d", len(d.left))
		if !d.storeDown && len(d.left) < len(d.store.replicas)-1 {
			d.remove(id)
			d.left[id] = d.now
		}
	case "store":
		d.storeDown = !d.storeDown
		if d.storeDown {
			return
		}
		d.downEnd = d.now
		if d.renewAt.IsZero() {
			d.remove("expires")
		}
		d.renewAt = d.now.Add(time.Duration(rapid.Int64Range(0, int64(maxRenewTime)).Draw(r, "renewed_after")))
	}
}

// wrong returns what is wrong with the lists of the hosts that are never cut off, or "".
func (d *drill) wrong() string {
	for i := cutHosts; i < fleetHosts; i++ {
		for id, left := range d.left {
			stable := left.Sub(d.downEnd) > stableTime && !d.storeDown
			if stable && d.now.Sub(left) > drainTime && d.hosts[i].lists(id) {
				return fmt.Sprintf("host %d lists %s %v after it has left", i, id, d.now.Sub(left))
			}
		}
	}
	return ""
}

// Guards against DRAIN at hosts in touch, whatever others that can't read the store take its silence for.
func TestFleetForgetsReplicasThatLeave(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var ids []string
		for i := range 12 {
			ids = append(ids, fmt.Sprintf("r%d", i))
		}
		d := &drill{fleet: newFleet(t, fleetHosts, append(ids, "expires")...), left: make(map[string]time.Time)}
		d.downEnd = d.now.Add(-time.Minute)
		for range 25 {
			d.act(r)
			for range rapid.IntRange(1, 45).Draw(r, "steps") {
				d.step(t)
				if wrong := d.wrong(); wrong != "" {
					r.Fatal(wrong)
				}
			}
		}
	})
}

// Guards against sound replicas that are lost in an outage of the store, with the planner lost at any time around it.
func TestFleetKeepsReplicasThroughOutage(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := &drill{fleet: newFleet(t, fleetHosts, "stays", "expires"), left: make(map[string]time.Time)}
		cutAt := rapid.IntRange(0, 60).Draw(r, "cut_at")
		for range 20 {
			d.step(t)
		}
		d.storeDown = true
		for step := range 100 {
			if step == cutAt {
				d.cut = true
			}
			if step == 40 {
				d.storeDown = false
				d.remove("expires")
				d.renewAt = d.now.Add(time.Duration(rapid.Int64Range(0, int64(maxRenewTime)).Draw(r, "renewed_after")))
			}
			d.step(t)
			for i := cutHosts; i < fleetHosts; i++ {
				if !d.hosts[i].lists("expires") {
					r.Fatalf("host %d has lost a sound replica in step %d, the planner in step %d", i, step, cutAt)
				}
			}
		}
	})
}
