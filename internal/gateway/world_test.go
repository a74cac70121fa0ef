package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/dialer"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/gateway"
	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
	"github.com/turmericshunt/turmericshunt/internal/standin/ports"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
	"github.com/turmericshunt/turmericshunt/platform"
)

const (
	eventualTimeout = 10 * time.Second // how long eventually waits for its condition
	testKey         = "key-of-hule"
	crashingPart    = "bad0"                 // part of a prompt
	crashDowntime   = 500 * time.Millisecond // of a replica
)

var engineParameters = passes.FastDecodeEngine()

// cluster is a small deployment in the test's process: a store, replicas of two services, and entry hosts.
type cluster struct {
	t        *testing.T
	store    *metastore.Store
	log      *replica.RequestLog // requests that reached replicas
	replicas []*replica.Replica  // in the order of their starts
	hosts    []*host
	version  int // of the configuration in the store

	replicasMu sync.Mutex // guards replicas once the hosts run

	storeAddress netip.AddrPort
	peers        []netip.AddrPort // peer addresses of the hosts
	seeds        int              // how many of peers are the hosts' seeds
	paths        []*hostPaths     // of the hosts to the replicas; empty unless newCutCluster has started the cluster

	// EvacuationTime of the hosts; unless it is 0, the replicas are in three failure domains.
	evacuationTime time.Duration
	withoutStore   map[int]bool // hosts that can't reach the store
	seedGroups     int          // hosts have only those of their group as seeds: i and j if i and j modulo seedGroups are the same; 0 for one group
	engineMemory   int          // of each model replica, in tokens; 0 for 315,000
}

// host is an entry host of a cluster.
type host struct {
	settings *site.Settings
	gateway  *gateway.Gateway
	stop     context.CancelFunc
	done     chan error    // receives the error of Run when the host has stopped
	stopped  chan struct{} // closed after that
	logs     *syncBuffer   // the host's log
}

// syncBuffer is a buffer that several goroutines can use at the same time.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// faultInjector chooses which fault a replica applies to a request; without a choose function it chooses none.
type faultInjector struct {
	mu     sync.Mutex
	choose func(id string, r *http.Request) replica.Fault
}

func (f *faultInjector) set(choose func(id string, r *http.Request) replica.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choose = choose
}

// forReplica returns the function that chooses the faults of the replica with the given ID.
func (f *faultInjector) forReplica(id string) func(r *http.Request) replica.Fault {
	return func(r *http.Request) replica.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.choose == nil {
			return replica.FaultNone
		}
		return f.choose(id, r)
	}
}

// listen starts a replica that runs until the test ends, and returns its address.
func listen(t *testing.T, r *replica.Replica) netip.AddrPort {
	t.Helper()
	address, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return address
}

// isCrashingPart reports whether model replicas crash on a part of a prompt.
func isCrashingPart(part string) bool { return part == crashingPart }

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newCluster starts a cluster of the given number of hosts, all with the addresses of the first three as seeds.
func newCluster(t *testing.T, hosts int, f *faultInjector) *cluster {
	t.Helper()
	return newClusterWithSeeds(t, hosts, f, 3)
}

// newClusterWithSeeds starts a cluster whose hosts have the addresses of the first seedCount hosts as seeds, and
// waits until it serves requests.
func newClusterWithSeeds(t *testing.T, hosts int, f *faultInjector, seedCount int) *cluster {
	t.Helper()
	return (&cluster{t: t}).start(hosts, f, seedCount)
}

// start starts the cluster and waits until it serves requests.
func (c *cluster) start(hosts int, f *faultInjector, seedCount int) *cluster {
	c.t.Helper()
	t := c.t
	c.store, c.log = &metastore.Store{}, &replica.RequestLog{}
	c.storeAddress = listener.ServeHTTP(t, c.store)
	c.seeds = seedCount
	if c.engineMemory == 0 {
		c.engineMemory = 315000
	}
	clock := &replica.Clock{Fleet: &passes.Fleet{Params: engineParameters}}
	replicaIDs := make(map[netip.AddrPort]string)
	for i := range 7 {
		r := &replica.Replica{
			ID: fmt.Sprintf("i-%d", i), Service: "llm", FailureDomain: "a", Slots: 16, Log: c.log,
			EngineNames: func() map[netip.AddrPort]string { return replicaIDs }, HelperAt: c.replicaAt,
		}
		if i < 4 {
			r.Clock = clock
		} else {
			r.Service = "desk"
			r.ServiceTime = 5 * time.Millisecond
		}
		if c.evacuationTime > 0 {
			r.FailureDomain = failureDomain(i)
		}
		r.Fault = f.forReplica(r.ID)
		r.CrashesOn, r.Downtime = isCrashingPart, crashDowntime
		r.OnReturn = func() { c.store.Put("servers/"+r.ID, r.Entry("ready")) }
		r.Address = listen(t, r)
		replicaIDs[r.Address] = r.ID
		c.addReplica(r)
		c.store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	c.configure([]string{testKey})
	for range hosts {
		c.peers = append(c.peers, freePort(t))
	}
	for i := range hosts {
		c.hosts = append(c.hosts, c.startHost(i))
	}
	c.awaitReady()
	return c
}

// addReplica adds a replica to the cluster.
func (c *cluster) addReplica(r *replica.Replica) {
	c.replicasMu.Lock()
	defer c.replicasMu.Unlock()
	c.replicas = append(c.replicas, r)
}

// replicaAt returns the replica that started last at an address, nil if none has.
func (c *cluster) replicaAt(address netip.AddrPort) *replica.Replica {
	c.replicasMu.Lock()
	defer c.replicasMu.Unlock()
	for _, r := range slices.Backward(c.replicas) {
		if r.Address == address {
			return r
		}
	}
	return nil
}

// restart stops host i gracefully, starts it again at its peer address and waits until it is ready.
func (c *cluster) restart(i int) {
	c.t.Helper()
	c.hosts[i].stop()
	<-c.hosts[i].stopped
	c.hosts[i] = c.startHost(i)
	c.eventually("the host is ready again", c.hosts[i].ready)
}

// failureDomain returns the failure domain of the host or replica with the given index.
func failureDomain(i int) string { return string(rune('a' + i%3)) }

// seedsOf returns the seeds of the host with the given index.
func (c *cluster) seedsOf(i int) []netip.AddrPort {
	if c.seedGroups == 0 {
		return c.peers[:min(c.seeds, len(c.peers))]
	}
	var seeds []netip.AddrPort
	for j, address := range c.peers {
		if j%c.seedGroups == i%c.seedGroups {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// startHost starts the host with the index i and returns it.
func (c *cluster) startHost(i int) *host {
	s := &site.Settings{
		Host: fmt.Sprintf("front-%d", i), FailureDomain: failureDomain(i), CallerAddress: freePort(c.t), ReadinessAddress: freePort(c.t),
		MetricsAddress: freePort(c.t),
		PeerAddress:    c.peers[i], Seeds: c.seedsOf(i), StoreAddress: c.storeAddress, CPUCores: 1,
		MemoryBytes: 500 << 20, GracePeriod: 5 * time.Second, RevocationTime: 3 * time.Second,
		RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second, EvacuationTime: c.evacuationTime,
		ColdOver: 1.5, ColdSlack: 5,
	}
	if c.evacuationTime > 0 {
		s.RetrySlack = 20000 // of which hosts that have just started take a small part only
	}
	if c.withoutStore[i] {
		s.StoreAddress = freePort(c.t) // where nothing listens
	}
	store := platform.NewStore(s.StoreAddress, func(error) {})
	store.ReadsEvacuations = s.EvacuationTime > 0
	logs := &syncBuffer{}
	log := eventlog.New(logs, s.Host)
	d := &dialer.Dialer{}
	if len(c.paths) > 0 {
		d.Connect = c.paths[i].connect
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &host{settings: s, stop: stop, done: make(chan error, 1), stopped: make(chan struct{}), logs: logs, gateway: &gateway.Gateway{
		Settings: s, Store: store, Memory: platform.NewMemory(d),
		Dialer:      d,
		HeaderCodec: platform.HeaderCodec{}, DecodeConfiguration: platform.DecodeConfiguration, Log: log, Version: "test",
	}}
	go func() {
		defer close(h.stopped)
		err := h.gateway.Run(ctx)
		if err != nil {
			c.t.Errorf("%s: %v", s.Host, err)
		}
		h.done <- err
		log.Close()
	}()
	c.t.Cleanup(func() {
		stop()
		<-h.stopped
	})
	return h
}

// configure stores the next version of the configuration, whose only workspace has the given keys.
func (c *cluster) configure(keys []string) {
	c.version++
	type split struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}
	route := func(name, kind, service string, timeout, target, pauseTarget int) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout,
			"targetLatencyMs": target, "priority": 1, "trafficSplit": []split{{service, 1}}, "maxAttempts": 2,
			"sessionAffinity": kind == "streaming", "resumable": kind == "streaming", "gapAimMs": pauseTarget,
		}
	}
	doc, err := json.Marshal(map[string]any{
		"version": c.version,
		"routes": []any{
			route("quotes", "streaming", "llm", 10000, 300, 250), route("dossiers", "streaming", "llm", 15000, 3000, 1000),
			route("orders", "unsafe", "desk", 1500, 300, 0), route("lookups", "safe", "desk", 1500, 100, 0),
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 100, "engine": map[string]any{
				"slots": 16, "kvTokens": c.engineMemory, "stride": 51, "step_ms": 0.2, "per_seq_ms": 0.00425,
				"context_per_k": 0.00285, "read_per_s": 177000, "pairs_per_m": 0.184, "chunk": 2048,
			}},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 100},
		},
		"limits":  map[string]any{"maxBodyBytes": 100000, "maxHeaderBytes": 16384},
		"tenants": []any{map[string]any{"name": "hule", "apiKeys": keys, "priority": 1}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Put("op/config", doc)
}

// awaitReady waits until all hosts report that they are ready and the first of them has served a request.
func (c *cluster) awaitReady() {
	c.t.Helper()
	for _, h := range c.hosts {
		c.eventually("host is ready", func() bool { return h.ready() })
	}
	c.eventually("a request is served", func() bool {
		resp := c.get(0, "/lookups/warm", nil)
		return resp.status == http.StatusOK
	})
}

// ready reports whether the host responds to the readiness check that it accepts connections.
func (h *host) ready() bool {
	resp, err := http.Get("http://" + h.settings.ReadinessAddress.String() + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until ok returns true, and fails the test after eventualTimeout.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("not within %v: %s", eventualTimeout, what)
}

// response is what a caller got for a request.
type response struct {
	id     string // of the request
	status int
	header http.Header
	body   string
	err    error         // of sending the request or reading the body
	took   time.Duration // until the end of the body
}

var (
	requestMu sync.Mutex
	requests  int // number of IDs that nextRequestID has returned
)

// nextRequestID returns an ID that no other request of the process has.
func nextRequestID() string {
	requestMu.Lock()
	defer requestMu.Unlock()
	requests++
	return "r" + strconv.Itoa(requests)
}

func (c *cluster) get(h int, path string, header http.Header) response {
	return c.do(h, http.MethodGet, path, "", header)
}

func (c *cluster) post(h int, path, body string) response {
	return c.do(h, http.MethodPost, path, body, nil)
}

// do sends a request to the host with the given index and reads its response. The values in header replace those that
// are set by default.
func (c *cluster) do(h int, method, path, body string, header http.Header) response {
	c.t.Helper()
	req, err := http.NewRequest(method, "http://"+c.hosts[h].settings.CallerAddress.String()+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	r := response{id: nextRequestID()}
	req.Host = "shop.example"
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Timeout-Remaining", "10000")
	req.Header.Set("Authorization", "Bearer "+testKey)
	if strings.HasPrefix(path, "/quotes/") {
		req.Header.Set("Token-Usage", "4000,1000")
		req.Header.Set("Model", "m")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	began := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r.status, r.header, r.body, r.err, r.took = resp.StatusCode, resp.Header, string(data), err, time.Since(began)
	return r
}

// completeStream returns the body of the complete stream for the request with the given ID.
func completeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= replica.EventCount(id); n++ {
		b.WriteString(replica.EventText(id, n))
	}
	return b.String()
}

// wantResponse checks that got is the replica's complete response to the request, with its signature and request ID.
func (c *cluster) wantResponse(got response, want string) {
	c.t.Helper()
	if got.err != nil || got.status != http.StatusOK || got.body != want {
		c.t.Errorf("%s: status %d, error %v, body %q, want %q", got.id, got.status, got.err, got.body, want)
	}
	if signature := got.header.Get("Response-Signature"); signature != replica.Signature(got.id) {
		c.t.Errorf("%s: signature %q", got.id, signature)
	}
	if id := got.header.Get("Request-Id"); id != got.id {
		c.t.Errorf("%s: the response has request ID %q", got.id, id)
	}
}

// logOnFailure prints the hosts' logs if the test has failed.
func (c *cluster) logOnFailure() {
	if !c.t.Failed() {
		return
	}
	for _, h := range c.hosts {
		c.t.Log(h.logs.String())
	}
}

// metrics returns the metrics that the host serves.
func (h *host) metrics() string { return string(h.getMonitoring("/metrics")) }

// status returns the status that the host serves, or the zero value if the host doesn't respond.
func (h *host) status() hoststatus.Status {
	var s hoststatus.Status
	if err := json.Unmarshal(h.getMonitoring("/status"), &s); err != nil {
		return hoststatus.Status{}
	}
	return s
}

// getMonitoring returns the body at a path of the host's metrics address, or nil if the host doesn't respond.
func (h *host) getMonitoring(path string) []byte {
	resp, err := http.Get("http://" + h.settings.MetricsAddress.String() + path)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil
	}
	return text
}
