//go:build soak

package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
	"github.com/turmericshunt/turmericshunt/internal/standin/ports"
	"github.com/turmericshunt/turmericshunt/internal/standin/relay"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

const (
	hostCount   = 5
	modelCount  = 5
	plainCount  = 3
	revokeTime  = 3 * time.Second
	restartTime = 300 * time.Millisecond
)

var figures = passes.QuickEngine()

// deployment is a store and replicas in this process, behind relays, and entry hosts as processes.
type deployment struct {
	t        *testing.T
	binary   string
	folder   string
	store    *metastore.Store
	storeAt  *relay.Relay
	log      *replica.Log
	replicas []*replica.Replica
	relays   []*relay.Relay
	hosts    []*host
	config   string

	mu      sync.Mutex
	random  *rand.Rand // of the replicas' faults
	trouble float64    // share of requests that a replica treats badly
	version int
	revoked map[string]time.Time // when the store took the configuration without the key
}

type host struct {
	name     string
	settings string
	callers  netip.AddrPort
	ready    netip.AddrPort

	mu       sync.Mutex
	process  *exec.Cmd
	running  bool
	exited   chan struct{} // closed when process has ended
	faultyAt time.Time     // last signal, start or stop
}

func hostPort(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func listenerPort(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return address
}

func relayTo(t *testing.T, target netip.AddrPort) (*relay.Relay, netip.AddrPort) {
	t.Helper()
	r := &relay.Relay{Target: target}
	address, err := r.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, address
}

func newDeployment(t *testing.T, binary string, seed uint64) *deployment {
	t.Helper()
	sample, err := os.ReadFile("../../examples/platform/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{
		t: t, binary: binary, folder: t.TempDir(), store: &metastore.Store{}, log: &replica.Log{}, config: string(sample),
		random: rand.New(rand.NewPCG(seed, 2)), revoked: make(map[string]time.Time),
	}
	var storeAddress netip.AddrPort
	d.storeAt, storeAddress = relayTo(t, listenerPort(t, d.store))
	clock := &replica.Clock{Fleet: &passes.Fleet{Params: figures}}
	names := make(map[netip.AddrPort]string)
	for i := range modelCount + plainCount {
		r := &replica.Replica{
			ID: fmt.Sprintf("i-%d", i), Service: "quote-llm", Domain: string(rune('a' + i%3)), Slots: 16, Log: d.log,
			Clock: clock, Names: func() map[netip.AddrPort]string { return names }, Fault: d.fault,
		}
		if i >= modelCount {
			r.Service, r.Clock, r.Work, r.Slots = "order-desk", nil, 10*time.Millisecond, 6
		}
		way, address := relayTo(t, listenerPort(t, r))
		r.Address = address
		names[address] = r.ID
		d.replicas = append(d.replicas, r)
		d.relays = append(d.relays, way)
		d.store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	d.configure([]string{"key-0", "key-1"})
	var peers []string
	for range hostCount {
		peers = append(peers, hostPort(t).String())
	}
	for i := range hostCount {
		d.addHost(i, peers, storeAddress)
	}
	return d
}

// fault draws how a replica treats a request.
func (d *deployment) fault(*http.Request) replica.Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.random.Float64() >= d.trouble {
		return replica.FaultNone
	}
	return replica.Fault(1 + d.random.IntN(int(replica.FaultExtra)))
}

func (d *deployment) setTrouble(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trouble = share
}

// configure writes the next version with the given keys.
func (d *deployment) configure(keys []string) {
	d.version++
	text := strings.Replace(d.config, `"version": 1`, fmt.Sprintf(`"version": %d`, d.version), 1)
	text = strings.Replace(text, `"demo-key"`, `"`+strings.Join(keys, `","`)+`"`, 1)
	d.store.Put("op/config", []byte(text))
}

func (d *deployment) addHost(i int, peers []string, store netip.AddrPort) {
	h := &host{
		name: fmt.Sprintf("front-%d", i), callers: hostPort(d.t), ready: hostPort(d.t),
		settings: filepath.Join(d.folder, fmt.Sprintf("%d.toml", i)),
	}
	text := fmt.Sprintf(`nodeName = %q
zone = "a"
seeds = ["%s"]
[listenAddrs]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 1.0
memoryMb = 300
[bounds]
gracePeriodS = 5
strictRevocation = true
revokeMs = %d
retryBudgetRatio = 0.2
retryBudgetSlack = 400
budgetWindowS = 10
[platform]
address = %q
`, h.name, strings.Join(peers[:3], `","`), h.callers, h.ready, peers[i], revokeTime.Milliseconds(), store)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.hosts = append(d.hosts, h)
	d.start(h)
	d.t.Cleanup(func() { h.kill() })
}

// start starts the host unless it runs, once its earlier process has ended.
func (d *deployment) start(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running {
		return
	}
	if h.exited != nil {
		<-h.exited
	}
	logs, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.Command(d.binary, "gateway", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	exited := make(chan struct{})
	h.process, h.running, h.faultyAt, h.exited = cmd, true, time.Now(), exited
	go func() {
		err := cmd.Wait()
		logs.Close()
		close(exited)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.process == cmd && h.running {
			d.t.Errorf("%s ended by itself: %v", h.name, err)
		}
	}()
}

// signal sends a signal to the host's process, by its id.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultyAt = time.Now()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.running = false
	}
	if h.process != nil {
		// A process that has ended needs no signal.
		_ = h.process.Process.Signal(s)
	}
}

func (h *host) kill() { h.signal(syscall.SIGKILL) }

// calmSince tells whether nothing happened to the host since at.
func (h *host) calmSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faultyAt.Before(at)
}

func (h *host) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready.String() + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(d.hosts) {
			return true
		}
	}
	return false
}

// keepLogs copies the hosts' logs to where a failed run can be read from.
func (d *deployment) keepLogs(to string) {
	files, _ := filepath.Glob(filepath.Join(d.folder, "*.log"))
	if err := os.MkdirAll(to, 0o700); err != nil {
		d.t.Log(err)
		return
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err == nil {
			err = os.WriteFile(filepath.Join(to, filepath.Base(name)), data, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "turmericshunt")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/turmericshunt").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, bytes.TrimSpace(out))
	}
	return binary
}
