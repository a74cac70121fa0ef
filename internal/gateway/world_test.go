package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/gateway"
	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
	"github.com/turmericshunt/turmericshunt/internal/standin/ports"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
	"github.com/turmericshunt/turmericshunt/platform"
)

const (
	settleTime = 10 * time.Second
	testKey    = "key-of-hule"
)

var figures = passes.QuickEngine()

// world is a small deployment: a store, replicas of two services and entry hosts, all in this process.
type world struct {
	t        *testing.T
	store    *metastore.Store
	log      *replica.Log
	replicas []*replica.Replica
	hosts    []*host
	version  int
}

type host struct {
	site    *site.Site
	gateway *gateway.Gateway
	stop    context.CancelFunc
	done    chan error
	logs    *syncBuffer
}

// syncBuffer is a buffer that several goroutines use.
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

// fault lets a test choose how replicas treat requests.
type fault struct {
	mu     sync.Mutex
	choose func(id string, r *http.Request) replica.Fault
}

func (f *fault) set(choose func(id string, r *http.Request) replica.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choose = choose
}

func (f *fault) of(id string) func(r *http.Request) replica.Fault {
	return func(r *http.Request) replica.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.choose == nil {
			return replica.FaultNone
		}
		return f.choose(id, r)
	}
}

func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newWorld(t *testing.T, hosts int, f *fault) *world {
	t.Helper()
	return newSeededWorld(t, hosts, f, 3)
}

// newSeededWorld makes a world whose hosts are told of the first seeded hosts only.
func newSeededWorld(t *testing.T, hosts int, f *fault, seeded int) *world {
	t.Helper()
	w := &world{t: t, store: &metastore.Store{}, log: &replica.Log{}}
	storeAddress := serve(t, w.store)
	clock := &replica.Clock{Fleet: &passes.Fleet{Figures: figures}}
	names := make(map[netip.AddrPort]string)
	for i := range 7 {
		r := &replica.Replica{
			ID: fmt.Sprintf("i-%d", i), Service: "llm", Domain: "a", Slots: 16, Log: w.log,
			Names: func() map[netip.AddrPort]string { return names },
		}
		if i < 4 {
			r.Clock = clock
		} else {
			r.Service = "desk"
			r.Work = 5 * time.Millisecond
		}
		r.Fault = f.of(r.ID)
		r.Address = serve(t, r)
		names[r.Address] = r.ID
		w.replicas = append(w.replicas, r)
		w.store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	w.configure([]string{testKey})
	var seeds []netip.AddrPort
	for range hosts {
		seeds = append(seeds, freePort(t))
	}
	for i := range hosts {
		w.startHost(i, storeAddress, seeds, seeded)
	}
	w.awaitReady()
	return w
}

func (w *world) startHost(i int, store netip.AddrPort, peers []netip.AddrPort, seeded int) {
	s := &site.Site{
		Host: fmt.Sprintf("front-%d", i), FailureDomain: "a", Callers: freePort(w.t), Readiness: freePort(w.t),
		Metrics: freePort(w.t),
		Peers:   peers[i], Seeds: peers[:min(seeded, len(peers))], StoreAddress: store, ProcessorShare: 1,
		MemoryBytes: 500 << 20, Grace: 5 * time.Second, RevokeTime: 3 * time.Second,
		RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second,
	}
	logs := &syncBuffer{}
	log := eventlog.New(logs, s.Host)
	ctx, stop := context.WithCancel(context.Background())
	h := &host{site: s, stop: stop, done: make(chan error, 1), logs: logs, gateway: &gateway.Gateway{
		Site: s, Store: platform.NewStore(store, func(error) {}), Memory: platform.NewMemory(),
		Headers: platform.Headers{}, Decode: platform.DecodeConfiguration, Log: log, Version: "test",
	}}
	w.hosts = append(w.hosts, h)
	go func() {
		err := h.gateway.Run(ctx)
		if err != nil {
			w.t.Errorf("%s: %v", s.Host, err)
		}
		h.done <- err
		log.Close()
	}()
	w.t.Cleanup(func() {
		stop()
		<-h.done
	})
}

// configure writes the next version of the configuration with the given keys of its one workspace.
func (w *world) configure(keys []string) {
	w.version++
	type split struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}
	route := func(name, kind, service string, limit, aim, gap int) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "kind": kind, "timeoutMs": limit,
			"targetLatencyMs": aim, "priority": 1, "trafficSplit": []split{{service, 1}}, "maxAttempts": 2,
			"sessionAffinity": kind == "streaming", "resumable": kind == "streaming", "gapAimMs": gap,
		}
	}
	doc, err := json.Marshal(map[string]any{
		"version": w.version,
		"routes": []any{
			route("quotes", "streaming", "llm", 10000, 300, 250), route("dossiers", "streaming", "llm", 15000, 3000, 1000),
			route("orders", "unsafe", "desk", 1500, 300, 0), route("lookups", "safe", "desk", 1500, 100, 0),
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 100, "engine": map[string]any{
				"slots": 16, "kvTokens": 315000, "stride": 51, "step_ms": 0.2, "per_seq_ms": 0.00425,
				"context_per_k": 0.00285, "read_per_s": 177000, "pairs_per_m": 0.184, "chunk": 2048,
			}},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 100},
		},
		"limits":  map[string]any{"maxBodyBytes": 100000, "maxHeaderBytes": 16384},
		"tenants": []any{map[string]any{"name": "hule", "apiKeys": keys, "priority": 1}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op/config", doc)
}

func (w *world) awaitReady() {
	w.t.Helper()
	for _, h := range w.hosts {
		w.eventually("host is ready", func() bool { return h.ready() })
	}
	w.eventually("one planner", func() bool {
		r := w.get(0, "/lookups/warm", nil)
		return r.status == http.StatusOK
	})
}

func (h *host) ready() bool {
	resp, err := http.Get("http://" + h.site.Readiness.String() + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("not within %v: %s", settleTime, what)
}

type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error // while reading the body
	took   time.Duration
}

var (
	requestMu sync.Mutex
	requests  int
)

func nextID() string {
	requestMu.Lock()
	defer requestMu.Unlock()
	requests++
	return "r" + strconv.Itoa(requests)
}

func (w *world) get(h int, path string, header http.Header) answer {
	return w.do(h, http.MethodGet, path, "", header)
}

func (w *world) post(h int, path, body string) answer {
	return w.do(h, http.MethodPost, path, body, nil)
}

func (w *world) do(h int, method, path, body string, header http.Header) answer {
	w.t.Helper()
	req, err := http.NewRequest(method, "http://"+w.hosts[h].site.Callers.String()+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	a := answer{id: nextID()}
	req.Host = "shop.example"
	req.Header.Set("Request-Id", a.id)
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
		a.err = err
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err, a.took = resp.StatusCode, resp.Header, string(data), err, time.Since(began)
	return a
}

func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= replica.Events(id); n++ {
		b.WriteString(replica.Event(id, n))
	}
	return b.String()
}

func (w *world) wantWhole(a answer, want string) {
	w.t.Helper()
	if a.err != nil || a.status != http.StatusOK || a.body != want {
		w.t.Errorf("%s: status %d, error %v, body %q, want %q", a.id, a.status, a.err, a.body, want)
	}
	if got := a.header.Get("Response-Signature"); got != replica.Signature(a.id) {
		w.t.Errorf("%s: signature %q", a.id, got)
	}
	if got := a.header.Get("Request-Id"); got != a.id {
		w.t.Errorf("%s: answer is marked %q", a.id, got)
	}
}

// logOnFailure shows the hosts' logs of a failed test.
func (w *world) logOnFailure() {
	if !w.t.Failed() {
		return
	}
	for _, h := range w.hosts {
		w.t.Log(h.logs.String())
	}
}

// metrics returns what the host serves on its metrics address.
func (h *host) metrics() string { return string(h.monitoring("/metrics")) }

// status reads what the host tells about itself; it is zero if the host doesn't answer.
func (h *host) status() hoststatus.Status {
	var s hoststatus.Status
	if err := json.Unmarshal(h.monitoring("/status"), &s); err != nil {
		return hoststatus.Status{}
	}
	return s
}

// monitoring reads a path of the host's metrics address; it returns nothing if the host doesn't answer.
func (h *host) monitoring(path string) []byte {
	resp, err := http.Get("http://" + h.site.Metrics.String() + path)
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
