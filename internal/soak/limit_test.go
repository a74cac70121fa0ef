//go:build soak

package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

const (
	limitNotice = 3 * time.Second // from the naming of a limit until it must hold
	limitWindow = 4 * time.Second // span of time over which requests are counted
	limitFactor = 1.5             // allowed multiple of what a limit allows
	limitExtra  = 5               // requests allowed in addition in each window
	limitQuiet  = 3 * time.Second // from the end of the last limits until the other faults end
	// Replicas of each service that never name a limit, so that there is a place for most requests.
	unlimitedReplicas = 1
)

// namedLimit is a limit that a replica names from a time on; 0 for none.
type namedLimit struct {
	since     time.Time
	perSecond float64
}

// namedLimits are the limits that replicas have named.
type namedLimits struct {
	mu   sync.Mutex
	byID map[string][]namedLimit // in order of time
}

// startLimits lets replicas name limits, and then lower, raise and withdraw them while faults go on. The last ones end
// limitQuiet before the other faults: only responses show that a limit has ended.
func (c *checker) startLimits(seed uint64, wg *sync.WaitGroup) {
	limits := c.deployment.limits
	random := rand.New(rand.NewPCG(seed, 6))
	d := c.deployment
	perSecond := []float64{0, 0.5, 1, 2.6, 6}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i, r := range d.replicas {
			if mayLimit(i) {
				limits.name(r, perSecond[1+random.IntN(len(perSecond)-1)])
			}
		}
		for end := time.Now().Add(*faultDuration - limitQuiet); time.Now().Before(end); {
			time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
			if i := random.IntN(len(d.replicas)); mayLimit(i) {
				limits.name(d.replicas[i], perSecond[random.IntN(len(perSecond))])
			}
		}
		for _, r := range d.replicas {
			limits.name(r, 0)
		}
	}()
}

// mayLimit reports whether the replica with the given index names limits.
func mayLimit(i int) bool {
	return i >= unlimitedReplicas && i < *engineCount || i >= *engineCount+unlimitedReplicas
}

// name sets the limit that a replica names in its responses from now on.
func (n *namedLimits) name(r *replica.Replica, perSecond float64) {
	text := ""
	if perSecond > 0 {
		text = strconv.FormatFloat(perSecond, 'f', -1, 64)
	}
	r.NameLimit(text)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byID[r.ID] = append(n.byID[r.ID], namedLimit{since: time.Now(), perSecond: perSecond})
}

// restarted records that a replica has restarted, so that it names no limit.
func (n *namedLimits) restarted(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.byID[id]) > 0 {
		n.byID[id] = append(n.byID[id], namedLimit{since: time.Now()})
	}
}

// allowed returns how many requests a replica may get in the window that ends at end, and false if it named no limit at
// some time in it or within limitNotice before.
func (n *namedLimits) allowed(id string, end time.Time) (float64, bool) {
	limits := n.byID[id]
	from := end.Add(-limitWindow - limitNotice)
	if len(limits) == 0 || limits[0].since.After(from) {
		return 0, false
	}
	highest := 0.0
	for i, l := range limits {
		if i+1 < len(limits) && limits[i+1].since.Before(from) || l.since.After(end) {
			continue
		}
		if l.perSecond == 0 {
			return 0, false
		}
		highest = max(highest, l.perSecond)
	}
	return limitFactor*highest*limitWindow.Seconds() + limitExtra, true
}

// check fails the test if a replica has got more requests in any window than the limit that it had named allows.
func (n *namedLimits) check(t *testing.T, log *replica.RequestLog) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.byID {
		received := log.Received(id, time.Time{})
		slices.SortFunc(received, func(a, b replica.ReceivedRequest) int { return a.At.Compare(b.At) })
		first := 0
		for last, r := range received {
			for r.At.Sub(received[first].At) > limitWindow {
				first++
			}
			if allowed, ok := n.allowed(id, r.At); ok && float64(last-first+1) > allowed {
				t.Errorf("%s got %d requests in %v, allowed %v", id, last-first+1, limitWindow, allowed)
				break
			}
		}
	}
}
