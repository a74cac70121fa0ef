package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
	"github.com/turmericshunt/turmericshunt/internal/tunnel"
)

const (
	// evacuationTime is from when on after the start of an evacuation nothing may reach the failure domain.
	evacuationTime  = 3 * time.Second
	evacuatedDomain = "b" // of the hosts and replicas whose indexes are 1 and 4
)

// newEvacuationCluster starts a cluster of hosts that obey evacuations, with replicas in three failure domains. The hosts with
// the given indexes can't reach the store.
func newEvacuationCluster(t *testing.T, hosts int, f *faultInjector, withoutStore ...int) *cluster {
	t.Helper()
	c := &cluster{t: t, evacuationTime: evacuationTime, withoutStore: make(map[int]bool)}
	for _, i := range withoutStore {
		c.withoutStore[i] = true
	}
	return c.start(hosts, f, 3)
}

func (c *cluster) evacuate() { c.store.Put("op/evacuate/"+evacuatedDomain, []byte("{}")) }

func (c *cluster) endEvacuation() { c.store.Remove("op/evacuate/" + evacuatedDomain) }

// evacuatedReceived returns the requests that have reached the evacuated failure domain since a time, as its primary or one of
// its helper replicas.
func (c *cluster) evacuatedReceived(since time.Time) []string {
	var received []string
	for _, r := range c.replicas {
		evacuated := r.FailureDomain == evacuatedDomain
		for _, request := range c.log.Received(r.ID, since) {
			for _, helper := range c.replicas {
				names := request.Header.Get("Helpers")
				if helper.FailureDomain == evacuatedDomain && strings.Contains(names, helper.Address.String()) {
					received = append(received, request.Target+" with helper "+helper.ID)
				}
			}
			if evacuated {
				received = append(received, request.Target+" at "+r.ID)
			}
		}
	}
	return received
}

// wantNothingEvacuated checks that nothing has reached the evacuated failure domain since a time.
func (c *cluster) wantNothingEvacuated(since time.Time) {
	c.t.Helper()
	if received := c.evacuatedReceived(since); len(received) > 0 {
		c.t.Errorf("%d requests reached the evacuated failure domain, such as %s", len(received), received[0])
	}
}

// awaitEvacuated waits until each host reports that the failure domain is evacuated, or that it isn't.
func (c *cluster) awaitEvacuated(want bool) {
	c.t.Helper()
	for _, h := range c.hosts {
		c.eventually(fmt.Sprintf("%s knows that the domain is evacuated: %t", h.settings.Host, want), func() bool {
			evacuations := h.status().Evacuations
			return evacuations != nil && slices.Contains(evacuations.FailureDomains, evacuatedDomain) == want
		})
	}
}

// mixedLoad sends requests of all kinds to each host until stop is closed. It returns how many were sent, and the responses
// that were not complete, once all have ended.
func (c *cluster) mixedLoad(stop chan struct{}) (sent int, failures map[string]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	failures = make(map[string]int)
	for h := range c.hosts {
		for i := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := i; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(60 * time.Millisecond):
					}
					resp := c.request(h, []string{"/quotes/q", "/lookups/l", "/orders/o"}[n%3])
					mu.Lock()
					sent++
					if resp.err != nil || resp.status != http.StatusOK {
						failures[fmt.Sprintf("%d of %s, error %v", resp.status, c.hosts[h].settings.Host, resp.err)]++
					}
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	return sent, failures
}

// loadFor sends requests of all kinds to each host for the given time, so many at once that all failure domains are used.
func (c *cluster) loadFor(d time.Duration) {
	stop := make(chan struct{})
	time.AfterFunc(d, func() { close(stop) })
	c.mixedLoad(stop)
}

// An evacuation starts and ends while requests of all kinds run and wait; one host can't reach the store. Guards against requests that reach the failure domain from any host, against
// running and waiting ones that are lost, and against a domain that is never used again.
func TestEvacuationUnderLoad(t *testing.T) {
	t.Parallel()
	c := newEvacuationCluster(t, 3, &faultInjector{}, 2)
	defer c.logOnFailure()
	stop, done := make(chan struct{}), make(chan struct{})
	var sent int
	var failures map[string]int
	go func() {
		defer close(done)
		sent, failures = c.mixedLoad(stop)
	}()
	before := time.Now()
	c.eventually("the domain is used", func() bool {
		received := c.evacuatedReceived(before)
		return len(received) > 20
	})
	c.evacuate()
	start := time.Now()
	time.Sleep(2 * evacuationTime)
	c.awaitEvacuated(true)
	c.wantNothingEvacuated(start.Add(evacuationTime))
	c.endEvacuation()
	ended := time.Now()
	c.eventually("the domain is used again", func() bool { return len(c.evacuatedReceived(ended)) > 5 })
	c.awaitEvacuated(false)
	close(stop)
	<-done
	if len(failures) > 0 || sent < 100 {
		t.Errorf("%d requests; failures: %v", sent, failures)
	}
}

// All replicas of a plain service that aren't evacuated fail in several ways. Guards against retries and hedges that go to the
// evacuated one.
func TestRetriesAndHedgesKeepToEvacuation(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	c := newEvacuationCluster(t, 2, f)
	defer c.logOnFailure()
	c.evacuate()
	c.awaitEvacuated(true)
	since := time.Now()
	faults := []replica.Fault{replica.FaultRefuse, replica.FaultError, replica.FaultNoResponse, replica.FaultSilentStart}
	f.set(func(id string, r *http.Request) replica.Fault {
		n, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
		if err != nil || id == "i-6" && n >= 2*len(faults) {
			return replica.FaultNone
		}
		return faults[n%len(faults)]
	})
	var wg sync.WaitGroup
	for n := range 4 * len(faults) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.get(n%2, "/lookups/"+strconv.Itoa(n), nil)
		}()
	}
	wg.Wait()
	c.wantNothingEvacuated(since)
	for _, h := range c.hosts {
		if strings.Contains(h.logs.String(), `"hedge_started"`) && strings.Contains(h.logs.String(), `"attempt_ended"`) {
			return
		}
	}
	t.Error("no request was hedged and sent again")
}

// All replicas of a service are in the evacuated failure domain. Guards against requests that wait for their timeout, and
// against a Retry-After that brings callers back before anything can have changed.
func TestRequestsOfEvacuatedServiceAreRefused(t *testing.T) {
	t.Parallel()
	c := newEvacuationCluster(t, 2, &faultInjector{})
	defer c.logOnFailure()
	for _, i := range []int{5, 6} { // the others of the service
		c.store.Put("servers/"+c.replicas[i].ID, c.replicas[i].Entry("draining"))
	}
	c.evacuate()
	c.awaitEvacuated(true)
	c.eventually("the draining replicas are known", func() bool {
		return c.get(0, "/lookups/l", nil).status != http.StatusOK && c.get(1, "/lookups/l", nil).status != http.StatusOK
	})
	resp := c.get(0, "/lookups/l", nil)
	after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	if resp.status != http.StatusServiceUnavailable || err != nil || after < 3 || resp.took > time.Second {
		t.Errorf("status %d with Retry-After %q after %v", resp.status, resp.header.Get("Retry-After"), resp.took)
	}
	c.endEvacuation()
	c.eventually("requests are served after the evacuation", func() bool {
		return c.get(0, "/lookups/l", nil).status == http.StatusOK
	})
}

// All hosts restart, one after the other, then the store. Guards against a host that uses the evacuated failure domain since it
// has just started, or since the store was restored from a copy without the evacuation and the operator hasn't written it again.
func TestEvacuationOutlastsRestarts(t *testing.T) {
	t.Parallel()
	c := newEvacuationCluster(t, 3, &faultInjector{})
	defer c.logOnFailure()
	copied := c.store.Copy()
	c.evacuate()
	c.awaitEvacuated(true)
	c.loadFor(200 * time.Millisecond) // so that what was placed before has arrived
	since := time.Now()
	for i := range c.hosts {
		c.restart(i)
		c.loadFor(200 * time.Millisecond)
	}
	c.wantNothingEvacuated(since)
	c.store.Restore(copied)
	time.AfterFunc(1500*time.Millisecond, c.evacuate) // again, as operators do within 2 s
	c.loadFor(4 * time.Second)
	c.wantNothingEvacuated(since)
	c.endEvacuation()
	c.awaitEvacuated(false)
	ended := time.Now()
	c.eventually("the domain is used again", func() bool {
		c.loadFor(100 * time.Millisecond)
		return len(c.evacuatedReceived(ended)) > 0
	})
}

// The failure domain of a helper replica is evacuated while a long prompt with memory reserved there is prefilled. Guards
// against a running request that is cut off or loses its reservation, and against a prompt that is given helpers there.
func TestLongPromptFinishesDuringEvacuation(t *testing.T) {
	t.Parallel()
	c := newEvacuationCluster(t, 2, &faultInjector{})
	defer c.logOnFailure()
	header := http.Header{"Token-Usage": {"330000,800"}, "Model": {"m"}}
	responses := make(chan response, 1)
	go func() { responses <- c.get(0, "/dossiers/d", header) }()
	var helper *replica.Replica
	c.eventually("memory is reserved", func() bool {
		i := slices.IndexFunc(c.replicas, func(r *replica.Replica) bool { return r.Reserved() > 0 })
		if i >= 0 {
			helper = c.replicas[i]
		}
		return i >= 0
	})
	c.store.Put("op/evacuate/"+helper.FailureDomain, []byte("{}"))
	c.eventually("the hosts know of the evacuation", func() bool {
		return !slices.ContainsFunc(c.hosts, func(h *host) bool {
			evacuations := h.status().Evacuations
			return evacuations == nil || !slices.Contains(evacuations.FailureDomains, helper.FailureDomain)
		})
	})
	select {
	case <-responses:
		t.Fatal("the response was complete before the evacuation was known")
	default:
	}
	if helper.Reserved() == 0 {
		t.Error("the running request has lost its memory")
	}
	since := time.Now()
	if resp := <-responses; resp.status != http.StatusOK || resp.body != completeStream(resp.id) {
		t.Errorf("status %d, error %v", resp.status, resp.err)
	}
	if resp := c.get(1, "/dossiers/e", header); resp.status != http.StatusOK {
		t.Errorf("status %d for a long prompt beside the evacuated domain", resp.status)
	}
	for _, r := range c.replicas {
		for _, request := range c.log.Received(r.ID, since) {
			if r.FailureDomain == helper.FailureDomain || strings.Contains(request.Header.Get("Helpers"), helper.Address.String()) {
				t.Errorf("%s reached %s with helpers %s", request.Target, r.ID, request.Header.Get("Helpers"))
			}
		}
	}
}

// Another host, which knows nothing of the evacuation, has opened a tunnel to a replica and opens more. Guards against requests
// that reach the evacuated failure domain through a host that knows of it.
func TestTunnelsKeepToEvacuation(t *testing.T) {
	t.Parallel()
	c := newEvacuationCluster(t, 1, &faultInjector{})
	defer c.logOnFailure()
	connect := func(ctx context.Context, host netip.AddrPort) (*net.TCPConn, error) {
		return netconn.Connect(ctx, host)
	}
	open := func(server netip.AddrPort) (*tunnel.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return tunnel.Dial(ctx, connect, c.peers[0], server)
	}
	evacuated, other := c.replicas[4].Address, c.replicas[5].Address
	tunnels := make(map[netip.AddrPort]*tunnel.Conn)
	for _, server := range []netip.AddrPort{evacuated, other} {
		conn, err := open(server)
		if err != nil || !netconn.IsIdle(conn) {
			t.Fatalf("a tunnel before the evacuation: %v", err)
		}
		defer conn.Close()
		tunnels[server] = conn
	}
	c.evacuate()
	c.awaitEvacuated(true)
	c.eventually("the open tunnel isn't usable", func() bool { return !netconn.IsIdle(tunnels[evacuated]) })
	if !netconn.IsIdle(tunnels[other]) {
		t.Error("the tunnel to another replica isn't usable")
	}
	if conn, err := open(evacuated); err == nil {
		conn.Close()
		t.Error("a tunnel to the evacuated replica was opened")
	}
	conn, err := open(other)
	if err != nil {
		t.Fatalf("no tunnel to another replica: %v", err)
	}
	conn.Close()
}
