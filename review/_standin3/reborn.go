package main

import (
	"sync/atomic"
	"time"
)

// reborn crashes a replica of the service order-desk, and starts it again under its id, 2.5 s later and at the same address, as a
// replica of the service quote-calc. No configuration allows the callers' requests to go to that service.
func reborn(w *world, trouble bool) (bool, error) {
	w.configure(1, 16384)
	var foreign atomic.Bool
	var runs atomic.Int64
	var first *replica
	for _, name := range []string{"i-0", "i-1", "i-2"} {
		r, err := w.newReplica(name, "zone-b", func(id string, _ time.Time) {
			if name == "i-0" && foreign.Load() {
				runs.Add(1)
				w.note("WRONG: %s, now of quote-calc, runs %s", name, id)
				return
			}
			w.note("%s runs %s", name, id)
		})
		if err != nil {
			return false, err
		}
		if first == nil {
			first = r
		}
	}
	var hosts []*host
	for _, name := range []string{"front-1", "front-2"} {
		h, err := newHost(name, "zone-b", 0.272)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	if err := w.start(hosts); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	w.batch("before", hosts, 12, nil)
	if trouble {
		first.crash()
		w.note("i-0 crashes")
		time.Sleep(2500 * time.Millisecond)
		foreign.Store(true)
		if err := first.startAgain("quote-calc", "zone-b"); err != nil {
			return false, err
		}
		w.note("i-0 starts again, as a replica of quote-calc")
	}
	for round := range 4 {
		time.Sleep(1500 * time.Millisecond)
		w.note("statuses in round %d: %v", round, w.batch("after", hosts, 24, nil))
	}
	w.note("%d requests for order-desk ran at a replica of quote-calc", runs.Load())
	return runs.Load() == 0, nil
}
