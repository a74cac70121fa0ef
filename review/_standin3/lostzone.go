package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// The rule's bound.
	drainTime = 2 * time.Second
	// From the loss of the zone until the replica leaves, from then until the next requests come, and how long the zone is lost.
	untilLeave = 150 * time.Millisecond
	untilBatch = 2600 * time.Millisecond
	lossTime   = 4 * time.Second
	// How long the hosts run before a loss. They are in touch after stableWindowMs.
	calmTime = 9 * time.Second

	lostHosts, otherHosts = 7, 2
	replicaCount          = 9
	rounds                = 3
)

// arrivals records which requests reach a replica after it has left.
type arrivals struct {
	world *world

	mu   sync.Mutex
	left map[string]time.Time // by replica: when the store acknowledged the removal of its entry
	late int                  // requests later than drainTime after it
}

func (a *arrivals) add(replica, id string, at time.Time) {
	a.world.note("%s runs %s", replica, id)
	a.mu.Lock()
	defer a.mu.Unlock()
	left, hasLeft := a.left[replica]
	if after := at.Sub(left); hasLeft && after > drainTime {
		a.late++
		a.world.note("LATE: %s reaches %s %d ms after the entry was removed", id, replica, after.Milliseconds())
	}
}

// leave removes the entry of a replica.
func (a *arrivals) leave(r *replica) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left[r.id] = r.leave()
	a.world.note("%s leaves: its entry is removed, and it serves on", r.id)
}

// lostZone freezes all hosts of a zone, among them the planner and its standbys, while a replica leaves without reporting that it
// drains. Later than drainTime after its entry was removed, no request of the other zone's hosts may reach it.
func lostZone(w *world, trouble bool) (bool, error) {
	w.configure(1, 16384)
	a := &arrivals{world: w, left: make(map[string]time.Time)}
	var replicas []*replica
	for i := range replicaCount {
		name := fmt.Sprintf("i-%d", i)
		r, err := w.newReplica(name, "zone-b", func(id string, at time.Time) { a.add(name, id, at) })
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	lost, others, err := w.startZones()
	if err != nil {
		return false, err
	}
	for round := range rounds {
		time.Sleep(calmTime)
		w.batch(fmt.Sprintf("before-%d", round), others, 12, nil)
		time.Sleep(time.Second)
		if err := playLoss(w, a, replicas[round], round, lost, others, trouble); err != nil {
			return false, err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w.note("%d requests reached a replica later than %v after its entry was removed", a.late, drainTime)
	return a.late == 0, nil
}

// playLoss loses a zone for lossTime while a replica leaves.
func playLoss(w *world, a *arrivals, leaver *replica, round int, lost, others []*host, trouble bool) error {
	began := time.Now()
	if trouble {
		if err := signal(lost, syscall.SIGSTOP); err != nil {
			return err
		}
		w.note("all %d hosts of zone-a stand still", len(lost))
	}
	time.Sleep(untilLeave)
	a.leave(leaver)
	time.Sleep(untilBatch)
	w.note("statuses of the requests after it: %v", w.batch(fmt.Sprintf("after-%d", round), others, 24, nil))
	time.Sleep(lossTime - time.Since(began))
	if !trouble {
		return nil
	}
	w.note("the hosts of zone-a go on")
	return signal(lost, syscall.SIGCONT)
}

func signal(hosts []*host, s syscall.Signal) error {
	for _, h := range hosts {
		if err := h.process.Signal(s); err != nil {
			return err
		}
	}
	return nil
}

// startZones starts a zone of large hosts, which are the first in the planning order, and one of small hosts.
func (w *world) startZones() (large, small []*host, err error) {
	for i := range lostHosts + otherHosts {
		zone, cpuShare := "zone-a", 0.8
		if i >= lostHosts {
			zone, cpuShare = "zone-b", 0.134
		}
		h, err := newHost(fmt.Sprintf("front-%s-%d", zone, i+1), zone, cpuShare)
		if err != nil {
			return nil, nil, err
		}
		if i < lostHosts {
			large = append(large, h)
		} else {
			small = append(small, h)
		}
	}
	if err := w.start(append(large[:lostHosts:lostHosts], small...)); err != nil {
		return nil, nil, err
	}
	return large, small, w.awaitReady(20 * time.Second)
}
