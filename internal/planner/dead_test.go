package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// deadWorld is a planner with replicas of one plain service, of which the first ones are dead but still listed: connections to
// them are refused.
type deadWorld struct {
	now     time.Time
	planner *Planner
	dead    map[string]bool
	ids     int
}

func newDeadWorld(order uint64, replicas, dead, domains int) *deadWorld {
	w := &deadWorld{now: time.Unix(1000, 0), planner: New(order), dead: make(map[string]bool)}
	var list []replica.Replica
	for i := range replicas {
		r := replica.Replica{ID: fmt.Sprint("s", i), Service: "desk", FailureDomain: fmt.Sprint(i % domains), Slots: 6, Born: 1}
		list = append(list, r)
		w.dead[r.ID] = i < dead
	}
	w.planner.SetReplicas(w.now, list)
	return w
}

// serve lets a host ask for places until a sound replica serves its request, and reports whether one does.
func (w *deadWorld) serve(host string) bool {
	const attempts = 9
	var excluded []string
	for range attempts {
		w.ids++
		id := fmt.Sprint(w.ids)
		w.planner.Submit(w.now, Request{
			ID: id, Host: host, Service: "desk", FirstTarget: 300 * time.Millisecond, Deadline: 4 * time.Second,
			ExcludedReplicas: excluded,
		})
		results := w.planner.Decide(w.now)
		if len(results) != 1 || results[0].Plan == nil {
			return false
		}
		chosen := results[0].Plan.Replica.ID
		w.now = w.now.Add(2 * time.Millisecond)
		if !w.dead[chosen] {
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
						w := newDeadWorld(order, replicas, dead, domains)
						refused := 0
						for i := range requests {
							w.now = w.now.Add(interval)
							if !w.serve(fmt.Sprint("h", i%hosts)) {
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
