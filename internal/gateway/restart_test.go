package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// All hosts restart, one after the other, the planner among them. Guards against a replica that had announced that it
// leaves, which the store still lists, or a key that had been withdrawn, in use again at a host that has restarted.
func TestRestartedHostsKnowWhatLeftAndWasWithdrawn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, &faultInjector{})
	defer c.logOnFailure()
	leaving := c.replicas[4]
	leaving.SetLeaving(true)
	for since := time.Now(); len(c.log.Received(leaving.ID, since)) == 0; {
		for _, path := range []string{"/lookups/1", "/lookups/2"} {
			go c.get(0, path, nil)
		}
		time.Sleep(5 * time.Millisecond)
	}
	withdrawn := http.Header{"Authorization": {"Bearer " + testKey}}
	const newKey = "key-of-hule-2"
	c.configure([]string{newKey})
	current := http.Header{"Authorization": {"Bearer " + newKey}}
	const propagationTime = time.Second
	time.Sleep(propagationTime)
	for i := range c.hosts {
		c.restart(i)
		since := time.Now()
		for range 30 {
			c.get(i, "/lookups/1", current)
			if resp := c.get(i, "/lookups/1", withdrawn); resp.status == http.StatusOK {
				t.Errorf("%s: the withdrawn key is accepted after the restart", c.hosts[i].settings.Host)
			}
		}
		if n := len(c.log.Received(leaving.ID, since)); n > 0 {
			t.Errorf("%s: %d requests reached the leaving replica after the restart", c.hosts[i].settings.Host, n)
		}
	}
	if !slices.ContainsFunc(c.replicas[5:], func(r *replica.Replica) bool { return len(c.log.Received(r.ID, time.Time{})) > 0 }) {
		t.Error("no request was served")
	}
}
