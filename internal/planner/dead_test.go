package planner

import (
	"fmt"
	"testing"
	"time"
)

// serveBesideDead lets a host ask for places until a sound replica serves its request, and reports whether one does. The first ones
// of the replicas are dead but still listed: connections to them are refused.
func (w *plainWorld) serveBesideDead(host string, dead int) bool {
	w.t.Helper()
	const attempts = 9
	var excluded []string
	for range attempts {
		id, chosen := w.place(host, excluded...)
		if chosen == "" {
			return false
		}
		w.now = w.now.Add(2 * time.Millisecond)
		var index int
		if _, err := fmt.Sscanf(chosen, "s%d", &index); err != nil {
			w.t.Fatal(err)
		}
		if index >= dead {
			w.planner.Ended(w.now, host, id, OutcomeCompleted)
			return true
		}
		w.planner.Ended(w.now, host, id, OutcomeUnreachable)
		excluded = append(excluded, chosen)
	}
	return false
}

// Guards against sound replicas that are refused without a try: two dead ones beside them that are still listed were taken for a
// failure domain that is cut off, and on a quiet service nothing else had shown life lately.
func TestSoundReplicasAreTriedBesideDeadOnes(t *testing.T) {
	const (
		hosts    = 3
		requests = 30
		orders   = 5
	)
	for _, interval := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, time.Minute} {
		for _, domains := range []int{1, 3} {
			for replicas := 3; replicas <= 8; replicas++ {
				for dead := 1; dead < replicas; dead++ {
					for order := range uint64(orders) {
						w := newOrderedPlainWorld(t, order, replicas, domains)
						refused := 0
						for i := range requests {
							w.now = w.now.Add(interval)
							if !w.serveBesideDead(fmt.Sprint("h", i%hosts), dead) {
								refused++
							}
						}
						if refused > 0 {
							t.Errorf("%d of %d replicas in %d domains dead, a request each %v, order %d: %d of %d refused", dead, replicas,
								domains, interval, order, refused, requests)
						}
					}
				}
			}
		}
	}
}
