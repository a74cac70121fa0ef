// Command standin2 runs the cases of the second review: it starts entry hosts as separate processes between stand-ins of the platform's
// store, of replicas and of clients, and judges what these have seen.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
)

// Settings of the deployment, as on the sheet of the users' smallest site.
const (
	memoryMB       = 206
	maxFDs         = 2940
	drainMS        = 2000
	gracePeriodS   = 8
	restartDelay   = 500 * time.Millisecond
	routeHost      = "quotes.example"
	apiKey         = "key-of-fundiquote"
	workspace      = "fundiquote"
	modelService   = "quote-llm"
	plainService   = "order-desk"
	memoryLimit    = int64(memoryMB) << 20
	statusInterval = 5 * time.Millisecond
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the case as one that couldn't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "couldn't run: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

// current is the world of the case; fail ends its processes.
var current *world

// world is a small deployment.
type world struct {
	record *record
	folder string // temporary
	store  *metastore.Store
	proxy  *storeProxy
	hosts  []*host

	storeAddress string
	configured   map[string]any
}

// newWorld starts the store and writes the configuration into it.
func newWorld(rec *record) *world {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail("folder: %v", err)
	}
	w := &world{record: rec, folder: folder, store: &metastore.Store{}}
	current = w
	w.proxy = &storeProxy{store: w.store}
	l := listen()
	w.storeAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: w.proxy}).Serve(l) }()
	return w
}

// storeProxy passes calls to the store.
type storeProxy struct {
	store http.Handler
	mu    sync.Mutex
	hook  func(w http.ResponseWriter, r *http.Request) bool
}

func (p *storeProxy) set(hook func(w http.ResponseWriter, r *http.Request) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hook = hook
}

func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	hook := p.hook
	p.mu.Unlock()
	if hook != nil && hook(w, r) {
		return
	}
	p.store.ServeHTTP(w, r)
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

// freeAddress returns an address on which nothing listens.
func freeAddress() string {
	l := listen()
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

type object = map[string]any

// baseConfiguration is the operator's configuration of the sheet's routes.
func baseConfiguration() object {
	route := func(name, prefix, kind, service string, timeoutMS, targetMS, attempts int, more object) object {
		r := object{
			"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMS,
			"targetLatencyMs": targetMS, "maxAttempts": attempts, "priority": 1, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return object{
		"version": 7,
		"routes": []object{
			route("quick-quote", "/quick/", "streaming", modelService, 10000, 300, 2,
				object{"sessionAffinity": true, "resumable": true, "gapAimMs": 250}),
			route("tender-dossier", "/dossier/", "streaming", modelService, 15000, 3000, 2,
				object{"sessionAffinity": true, "resumable": true, "gapAimMs": 1000}),
			route("order-confirm", "/orders/", "unsafe", plainService, 2000, 300, 1, nil),
			route("quote-lookup", "/lookups/", "safe", plainService, 2000, 300, 2, nil),
		},
		"services": []object{
			{"name": modelService, "healthPath": "/health", "maxConnections": 819, "engine": object{
				"slots": 16, "kvTokens": 315000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
				"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "hopMs": 0.05,
			}},
			{"name": plainService, "healthPath": "/health", "maxConnections": 248},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": workspace, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// configure writes the operator's configuration.
func (w *world) configure(c object) {
	data, err := json.Marshal(c)
	if err != nil {
		fail("configuration: %v", err)
	}
	w.store.Put("op/config", data)
}

// host is one entry host.
type host struct {
	world  *world
	name   string
	front  string
	ready  string
	peer   string
	path   string // of the settings
	zone   string
	metric string

	mu       sync.Mutex
	cmd      *exec.Cmd
	log      *os.File
	stopping bool
	kills    int   // for memory over the limit
	ends     int   // by itself
	maxRSS   int64 // bytes
	done     chan struct{}
}

// addHosts writes the settings of n hosts and starts them.
func (w *world) addHosts(n int) {
	for i := range n {
		h := &host{
			world: w, name: fmt.Sprintf("front-%d", i+1), front: freeAddress(), ready: freeAddress(), peer: freeAddress(),
			zone: string(rune('a' + i%3)), metric: freeAddress(),
		}
		h.path = filepath.Join(w.folder, h.name+".toml")
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.writeSettings()
	}
	for _, h := range w.hosts {
		h.start()
	}
}

func (h *host) writeSettings() {
	var seeds []string
	for _, other := range h.world.hosts {
		if len(seeds) < 3 {
			seeds = append(seeds, `"`+other.peer+`"`)
		}
	}
	metric := netip.MustParseAddrPort(h.metric)
	text := fmt.Sprintf(`nodeName = %q
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = %q
region = "nordeste"
internalPortRange = [%d,%d]
seeds = [%s]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
a = "nordeste"
b = "nordeste"
c = "nordeste"
[listenAddrs]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.272
cpuCores = 1
memoryMb = %d
maxFds = %d
linkMbps = 700.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = %d
gracePeriodS = %d
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 234
recoverS = 12
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, h.name, h.zone, metric.Port(), metric.Port(), strings.Join(seeds, ","), h.front, h.ready, h.peer, memoryMB, maxFDs, drainMS,
		gracePeriodS, h.world.storeAddress)
	if err := os.WriteFile(h.path, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
}

// start starts the process; it is started again each time it ends, as on the platform.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.log == nil {
		f, err := os.Create(filepath.Join(h.world.folder, h.name+".log"))
		if err != nil {
			fail("log: %v", err)
		}
		h.log = f
	}
	// The words of the deploy file's run line.
	cmd := exec.Command("target/turmericshunt", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TURMERICSHUNT_SETTINGS=" + h.path}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	h.cmd, h.done = cmd, make(chan struct{})
	go h.await(cmd, h.done)
	go h.watchMemory(cmd, h.done)
}

func (h *host) await(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	close(done)
	h.mu.Lock()
	stopping := h.stopping
	if !stopping {
		h.ends++
	}
	h.mu.Unlock()
	if stopping {
		return
	}
	h.world.record.line("host %s  its process has ended: %v", h.name, err)
	time.Sleep(restartDelay)
	h.mu.Lock()
	stopping = h.stopping
	h.mu.Unlock()
	if !stopping {
		h.start()
	}
}

// watchMemory does what the platform does: it kills a process that exceeds its memory.
func (h *host) watchMemory(cmd *exec.Cmd, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(statusInterval):
		}
		bytes, ok := privateMemory(cmd.Process.Pid)
		if !ok {
			continue
		}
		h.mu.Lock()
		h.maxRSS = max(h.maxRSS, bytes)
		over := bytes > memoryLimit && !h.stopping
		if over {
			h.kills++
		}
		h.mu.Unlock()
		if over {
			h.world.record.line("host %s  private resident memory %d MB is over limits.memoryMb = %d: killed, as the platform does",
				h.name, bytes>>20, memoryMB)
			_ = cmd.Process.Kill()
			return
		}
	}
}

// privateMemory returns the private resident memory of a process in bytes, without the program's text.
func privateMemory(pid int) (int64, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	_, after, found := strings.Cut(string(data), "RssAnon:")
	var kilobytes int64
	if _, err := fmt.Sscan(after, &kilobytes); !found || err != nil {
		return 0, false
	}
	return kilobytes << 10, true
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady() {
	for _, h := range w.hosts {
		for end := time.Now().Add(15 * time.Second); !isReady(h.ready); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				fail("host %s isn't ready", h.name)
			}
		}
	}
	w.record.line("all hosts are ready")
}

func isReady(address string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, h := range w.hosts {
		h.mu.Lock()
		h.stopping = true
		cmd, done := h.cmd, h.done
		h.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}
