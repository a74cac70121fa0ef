package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
)

// Requests of plain services, and streams with and without helper replicas, reach the replica as the caller sent them
// apart from the headers that the host sets, and the responses reach the caller unchanged.
func TestResponsesAreForwardedUnchanged(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, &faultInjector{})
	for h := range c.hosts {
		resp := c.post(h, "/quotes/x?size=4", "prompt")
		c.wantResponse(resp, completeStream(resp.id))
		resp = c.post(h, "/orders/17?a=b%20c", "order body")
		c.wantResponse(resp, replica.PlainResponse("/orders/17?a=b%20c", "order body"))
		seen := c.log.Requests(resp.id)
		if len(seen) != 1 {
			t.Fatalf("%d requests reached replicas, want 1", len(seen))
		}
		got := seen[0]
		if got.Method != http.MethodPost || got.Target != "/orders/17?a=b%20c" || got.Body != "order body" {
			t.Errorf("the replica got %+v", got)
		}
		if got.Header.Get("Tenant") != "hule" || got.Header.Get("Authorization") != "" {
			t.Errorf("the replica got tenant %q and key %q", got.Header.Get("Tenant"), got.Header.Get("Authorization"))
		}
		if left, _ := strconv.Atoi(got.Header.Get("Timeout-Remaining")); left <= 0 || left > 1500 {
			t.Errorf("the replica has %d ms left, want 1 up to the route's limit of 1500", left)
		}
	}
	long := http.Header{"Token-Usage": {"200000,500"}}
	resp := c.do(0, http.MethodPost, "/quotes/long", "p", long)
	c.wantResponse(resp, completeStream(resp.id))
	if c.log.Requests(resp.id)[0].Header.Get("Helpers") == "" {
		t.Error("no helper replicas were named for a prompt of 200,000 tokens")
	}
	huge := http.Header{"Token-Usage": {"400000,500"}}
	resp = c.do(1, http.MethodPost, "/dossiers/huge", "p", huge)
	c.wantResponse(resp, completeStream(resp.id))
	c.eventually("all reserved memory is released", func() bool {
		sum := 0
		for _, r := range c.replicas {
			sum += r.Reserved()
		}
		return sum == 0
	})
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, &faultInjector{})
	for _, test := range []struct {
		name   string
		path   string
		header http.Header
		want   int
	}{
		{"no route", "/nowhere/1", nil, http.StatusNotFound},
		{"unknown key", "/lookups/1", http.Header{"Authorization": {"Bearer other"}}, http.StatusUnauthorized},
		{"no key", "/lookups/1", http.Header{"Authorization": nil}, http.StatusUnauthorized},
		{"no timeout", "/lookups/1", http.Header{"Timeout-Remaining": nil}, http.StatusBadRequest},
		{"malformed timeout", "/lookups/1", http.Header{"Timeout-Remaining": {"soon"}}, http.StatusBadRequest},
		{"malformed tokens", "/quotes/1", http.Header{"Token-Usage": {"many"}}, http.StatusBadRequest},
	} {
		resp := c.get(0, test.path, test.header)
		if resp.status != test.want || resp.header.Get("Response-Signature") != "" {
			t.Errorf("%s: status %d, want %d", test.name, resp.status, test.want)
		}
		if n := len(c.log.Requests(resp.id)); n != 0 {
			t.Errorf("%s: reached %d replicas", test.name, n)
		}
	}
	if resp := c.post(0, "/orders/1", strings.Repeat("x", 200000)); resp.status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body over the limit: status %d, %v", resp.status, resp.err)
	}
}

// faultOnFirstAttempt makes replicas apply kind to the first attempt of each request and serve the later ones. Requests
// that end in /warm are served at the first attempt.
func faultOnFirstAttempt(kind replica.Fault) *faultInjector {
	var mu sync.Mutex
	attempted := make(map[string]bool)
	f := &faultInjector{}
	f.set(func(_ string, r *http.Request) replica.Fault {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Request-Id")
		if attempted[id] || strings.HasSuffix(r.URL.Path, "/warm") {
			return replica.FaultNone
		}
		attempted[id] = true
		return kind
	})
	return f
}

// The first attempt of each request meets a fault. A request that may be retried succeeds at another replica; one that
// must not be retried is sent to another replica only if the first one says that it has not run the request.
func TestFailuresOfOneReplica(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		fault  replica.Fault
		order  int  // status of a request that must not be retried
		lookup int  // status of a request that may be retried
		quote  bool // not read: the test expects a completed stream in all cases
		runs   int  // how often replicas run the request that must not be retried
	}{
		{"refused", replica.FaultRefuse, http.StatusOK, http.StatusOK, true, 1},
		{"error", replica.FaultError, http.StatusInternalServerError, http.StatusOK, true, 1},
		{"response broken off", replica.FaultTruncate, http.StatusBadGateway, http.StatusOK, true, 1},
		{"response lost", replica.FaultNoResponse, http.StatusBadGateway, http.StatusOK, true, 1},
		{"second response", replica.FaultDuplicate, http.StatusOK, http.StatusOK, true, 1},
		{"silent", replica.FaultSilent, http.StatusGatewayTimeout, http.StatusOK, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, faultOnFirstAttempt(test.fault))
			defer c.logOnFailure()
			resp := c.post(0, "/orders/1", "o")
			if resp.status != test.order || c.log.Runs(resp.id) != test.runs {
				t.Errorf("order: status %d after %d runs, want %d after %d", resp.status, c.log.Runs(resp.id), test.order,
					test.runs)
			}
			resp = c.get(1, "/lookups/1", nil)
			if resp.status != test.lookup {
				t.Errorf("lookup: status %d, want %d", resp.status, test.lookup)
			}
			resp = c.post(0, "/quotes/1", "q")
			c.wantResponse(resp, completeStream(resp.id))
		})
	}
}

// A replica sends a second response after its own. It must not be taken for the response to the next request on the
// same connection.
func TestExtraResponsesAreDiscarded(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	f.set(func(string, *http.Request) replica.Fault { return replica.FaultDuplicate })
	c := newCluster(t, 1, f)
	for i := range 30 {
		path := "/lookups/" + strconv.Itoa(i)
		c.wantResponse(c.get(0, path, nil), replica.PlainResponse(path, ""))
	}
}

// When all replicas refuse a request, the host responds 503 with Retry-After soon, and no replica has run the request.
func TestRefusedRequestsHaveNotRun(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	c := newCluster(t, 1, f)
	defer c.logOnFailure()
	f.set(func(string, *http.Request) replica.Fault { return replica.FaultRefuse })
	resp := c.post(0, "/orders/1", "o")
	if resp.status != http.StatusServiceUnavailable || c.log.Runs(resp.id) != 0 {
		t.Errorf("status %d after %d runs, want 503 after 0", resp.status, c.log.Runs(resp.id))
	}
	if after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64); err != nil || after <= 0 {
		t.Errorf("Retry-After %q", resp.header.Get("Retry-After"))
	}
	if resp.took > 750*time.Millisecond {
		t.Errorf("response after %v, want it within 750 ms because no replica could run the request", resp.took)
	}
}

func TestChangedKeysBecomeActiveOnAllHosts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, &faultInjector{})
	c.configure([]string{"another"})
	const propagationTime = 2 * time.Second
	time.Sleep(propagationTime)
	for h := range c.hosts {
		if resp := c.get(h, "/lookups/1", nil); resp.status != http.StatusUnauthorized {
			t.Errorf("host %d: a request with a revoked key gets status %d, want 401", h, resp.status)
		}
		header := http.Header{"Authorization": {"Bearer another"}}
		if resp := c.get(h, "/lookups/1", header); resp.status != http.StatusOK {
			t.Errorf("host %d: a request with the new key gets status %d, want 200", h, resp.status)
		}
	}
}

// While the store doesn't respond, the hosts can't verify that their configuration is the newest. Once the revocation
// limit has passed, they must refuse requests with keys, which may have been revoked, and report that they are not
// ready.
func TestKeysAreRefusedWithUnverifiedConfiguration(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, &faultInjector{})
	for _, outage := range []metastore.Fault{metastore.FaultBusy, metastore.FaultSilent} {
		c.store.SetFault(outage, 0)
		time.Sleep(c.hosts[0].settings.RevocationTime)
		for h := range c.hosts {
			resp := c.get(h, "/lookups/1", nil)
			if resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" || c.log.Runs(resp.id) != 0 {
				t.Errorf("outage %d, host %d: status %d after %d runs, want 503 after 0", outage, h, resp.status,
					c.log.Runs(resp.id))
			}
			if c.hosts[h].ready() {
				t.Errorf("outage %d, host %d: the host reports that it is ready", outage, h)
			}
		}
		c.store.SetFault(metastore.FaultNone, 0)
		c.awaitReady()
	}
}

// One of three replicas is draining and the entry of another is removed: new requests go to the third only.
func TestDrainingAndRemovedReplicasGetNoRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, &faultInjector{})
	c.store.Put("servers/i-4", c.replicas[4].Entry("draining"))
	c.store.Remove("servers/i-5")
	const propagationTime = 2 * time.Second
	time.Sleep(propagationTime)
	for i := range 30 {
		resp := c.get(i%3, "/lookups/1", nil)
		for _, s := range c.log.Requests(resp.id) {
			if s.ReplicaID != "i-6" {
				t.Errorf("request %s was sent to %s", resp.id, s.ReplicaID)
			}
		}
	}
}

// A replica announces in a response that it leaves, while the store still lists it as ready. The host that got the
// response sends it nothing from then on, and the others once they have been notified.
func TestReplicaThatAnnouncesItsLeavingGetsNoRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, &faultInjector{})
	defer c.logOnFailure()
	// Requests that come one at a time go to the same replica.
	chosen := c.log.Requests(c.get(0, "/lookups/1", nil).id)[0].ReplicaID
	leaving := c.replicas[slices.IndexFunc(c.replicas, func(r *replica.Replica) bool { return r.ID == chosen })]
	leaving.SetLeaving(true)
	since := time.Now()
	c.eventually("the replica gets a request", func() bool {
		c.get(0, "/lookups/1", nil)
		return len(c.log.Received(leaving.ID, since)) > 0
	})
	since = time.Now()
	for range 20 {
		c.get(0, "/lookups/1", nil)
	}
	if n := len(c.log.Received(leaving.ID, since)); n != 0 {
		t.Errorf("%d requests reached the replica from the host that it had told", n)
	}
	const propagationTime = 500 * time.Millisecond
	time.Sleep(propagationTime)
	since = time.Now()
	for i := range 40 {
		c.get(i%3, "/lookups/1", nil)
	}
	if n := len(c.log.Received(leaving.ID, since)); n != 0 {
		t.Errorf("%d requests reached the replica from other hosts", n)
	}
}

// All replicas of a service refuse requests and ask the host for a pause. At most two requests reach each of them before
// its end; the others are refused at once and told when to come back.
func TestReplicasThatAskForPauseGetIt(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	c := newCluster(t, 1, f)
	defer c.logOnFailure()
	f.set(func(string, *http.Request) replica.Fault { return replica.FaultAskPause })
	since := time.Now()
	for time.Since(since) < replica.AskedPause-200*time.Millisecond {
		resp := c.get(0, "/lookups/1", nil)
		after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		if resp.status != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 2 {
			t.Errorf("status %d with Retry-After %q, want 503 with 0 to 2 s", resp.status, resp.header.Get("Retry-After"))
		}
		if resp.took > 200*time.Millisecond {
			t.Errorf("the refusal took %v", resp.took)
		}
	}
	for _, r := range c.replicas[4:] {
		if n := len(c.log.Received(r.ID, since)); n == 0 || n > 2 {
			t.Errorf("%d requests reached %s, want 1 or 2", n, r.ID)
		}
	}
	f.set(nil)
	c.eventually("requests are served after the pause", func() bool {
		return c.get(0, "/lookups/1", nil).status == http.StatusOK
	})
}

// Store entries of servers that don't describe a replica are ignored; requests go to the other replicas.
func TestInvalidReplicaEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, &faultInjector{})
	c.store.Put("servers/bad-1", []byte("\x00\x01"))
	c.store.Put("servers/bad-2", []byte(`{"service":"desk","address":"nowhere","slots":1,"state":"ready"}`))
	c.store.Put("servers/bad-3", []byte(`{"service":"desk","address":"127.0.0.1:1","slots":"many","state":"ready"}`))
	c.store.Put("servers/bad-4", []byte(`{"service":"desk","address":"127.0.0.1:1","slots":9223372036854775807,"state":"ready"}`))
	c.store.Put("servers/bad-5", []byte(`{"service":"desk","address":"127.0.0.1:70000","slots":1,"state":"ready"}`))
	c.store.Put("servers/bad-6", []byte(strings.Repeat(`{"a":`, 100_000)))
	c.store.Put("servers/"+c.replicas[4].ID, c.replicas[4].Entry("draining"))
	c.eventually("the list is still followed", func() bool {
		return slices.ContainsFunc(c.hosts[0].status().Replicas, func(r hoststatus.Replica) bool { return r.ID == "i-4" && r.Draining })
	})
	time.Sleep(time.Second)
	for range 10 {
		if resp := c.get(0, "/lookups/1", nil); resp.status != http.StatusOK {
			t.Errorf("status %d", resp.status)
		}
	}
}

// Two of three hosts, the planner among them, stop while streams are in progress: all streams are completed, and
// another host takes over planning.
func TestGracefulStopCompletesStreams(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, &faultInjector{})
	var all sync.WaitGroup
	stop := make(chan struct{})
	for h := range c.hosts {
		for range 4 {
			all.Add(1)
			go func() {
				defer all.Done()
				for {
					select {
					case <-stop:
						return
					default:
					}
					resp := c.post(h, "/quotes/1", "q")
					switch {
					case resp.status == http.StatusOK:
						c.wantResponse(resp, completeStream(resp.id))
					case resp.status == http.StatusServiceUnavailable && c.log.Runs(resp.id) == 0:
					case resp.status == 0: // the host no longer listens
						return
					default:
						t.Errorf("status %d after %d runs: %s", resp.status, c.log.Runs(resp.id), resp.body)
					}
				}
			}()
		}
	}
	time.Sleep(500 * time.Millisecond)
	for h := range 2 {
		c.hosts[h].stop()
		time.Sleep(300 * time.Millisecond)
		if c.hosts[h].ready() {
			t.Error("a stopping host reports that it is ready")
		}
		c.eventually("the host has stopped", func() bool { return len(c.hosts[h].done) == 1 })
	}
	close(stop)
	all.Wait()
	resp := c.post(2, "/quotes/1", "q")
	c.wantResponse(resp, completeStream(resp.id))
}

// The caller's client times out while the replica is silent: the host must end the request as canceled soon after.
func TestRequestOfDisconnectedCallerIsCanceled(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	f.set(func(_ string, r *http.Request) replica.Fault {
		if strings.HasPrefix(r.URL.Path, "/quotes/") {
			return replica.FaultSilent
		}
		return replica.FaultNone
	})
	c := newCluster(t, 1, f)
	began := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.hosts[0].settings.CallerAddress.String()+"/quotes/1",
		strings.NewReader("q"))
	if err != nil {
		t.Fatal(err)
	}
	id := nextRequestID()
	req.Host = "shop.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Timeout-Remaining": "10000", "Authorization": "Bearer " + testKey, "Token-Usage": "4000,100",
	} {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: 300 * time.Millisecond}
	if resp, err := client.Do(req); err == nil {
		resp.Body.Close()
		t.Fatal("a silent replica sent a response")
	}
	c.eventually("the request is logged as canceled", func() bool {
		return strings.Contains(c.hosts[0].logs.String(), `"outcome":"canceled"`)
	})
	if took := time.Since(began); took > 900*time.Millisecond {
		t.Errorf("ended %v after the caller disconnected", took-300*time.Millisecond)
	}
}

// The hosts start without seeds, as if all seeds were out of date: they find each other through the store.
func TestHostsWithoutSeedsFindEachOther(t *testing.T) {
	t.Parallel()
	c := newClusterWithSeeds(t, 3, &faultInjector{}, 0)
	for _, h := range c.hosts {
		c.eventually("the host knows three hosts", func() bool { return strings.Contains(h.metrics(), "turmericshunt_hosts 3\n") })
	}
}

func TestMetricsReportOutcomes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, &faultInjector{})
	defer c.logOnFailure()
	resp := c.post(0, "/quotes/1", "q")
	c.wantResponse(resp, completeStream(resp.id))
	for _, name := range []string{
		`turmericshunt_requests{outcome="completed",prompt_length="up_to_8k"}`, "turmericshunt_first_event_bucket",
		"turmericshunt_config_version",
	} {
		c.eventually(name+" is served", func() bool { return strings.Contains(c.hosts[0].metrics(), name) })
	}
}

// Streams pause and the retry budget is exhausted: the host must go on waiting for the replica instead of ending the
// streams.
func TestSilentStreamIsNotCutWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	c := newCluster(t, 1, f)
	for _, h := range c.hosts {
		h.gateway.Reload(&site.Settings{RetryWindow: time.Hour, RevocationTime: time.Hour})
	}
	f.set(func(string, *http.Request) replica.Fault { return replica.FaultPause })
	var all sync.WaitGroup
	for range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			resp := c.post(0, "/quotes/1", "q")
			c.wantResponse(resp, completeStream(resp.id))
		}()
	}
	all.Wait()
}

func TestStatusReportsCachedState(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, &faultInjector{})
	defer c.logOnFailure()
	c.eventually("both hosts name the same planner and know each other", func() bool {
		a, b := c.hosts[0].status(), c.hosts[1].status()
		return a.Planner == b.Planner && a.IsPlanner != b.IsPlanner && len(a.Hosts) == 2 && len(b.Hosts) == 2
	})
	s := c.hosts[0].status()
	if s.Configuration.Version == 0 || len(s.Replicas) != len(c.replicas) || !s.Ready ||
		s.Host != c.hosts[0].settings.Host {
		t.Errorf("got %+v", s)
	}
}

// Callers on /quotes/ disconnect after two seconds without an event, and no number of replicas completes the prefill of
// this prompt in that time; on /dossiers/ callers wait for twelve seconds.
func TestPromptThatMissesCallerTimeoutIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, &faultInjector{})
	defer c.logOnFailure()
	resp := c.do(0, http.MethodPost, "/quotes/huge", "p", http.Header{"Token-Usage": {"400000,500"}})
	if resp.status != http.StatusServiceUnavailable || c.log.Runs(resp.id) != 0 {
		t.Errorf("status %d after %d runs, want 503 after 0", resp.status, c.log.Runs(resp.id))
	}
	if resp.took > time.Second {
		t.Errorf("refused after %v, want at most 1 s", resp.took)
	}
}
