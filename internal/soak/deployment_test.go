//go:build soak

package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
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

	"github.com/turmericshunt/turmericshunt/internal/soak/paths"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
	"github.com/turmericshunt/turmericshunt/internal/standin/relay"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

const (
	serviceCount    = 3                      // replicas of the plain service, which serves orders and lookups
	revocationDelay = 3 * time.Second        // after it, entry hosts must not accept a revoked key (setting revokeMs)
	restartDelay    = 300 * time.Millisecond // from the kill of an entry host until it is started again
	loadTime        = 50 * time.Millisecond  // until a new process can handle signals: its runtime must have started
)

var engineParameters = passes.FastDecodeEngine()

// deployment is the system under test: a store and replicas in the test's process, each behind a relay that can make
// its connections silent, and entry hosts as separate processes.
type deployment struct {
	t             *testing.T
	binary        string
	dir           string
	store         *metastore.Store
	storeRelay    *relay.Relay        // between entry hosts and the store
	requestLog    *replica.RequestLog // what all replicas have seen of each request
	replicas      []*replica.Replica
	replicaRelays []*relay.Relay // between entry hosts and replicas, in the order of replicas
	hosts         []*host
	peers         []netip.AddrPort // peer addresses of the hosts
	config        string           // text of the sample configuration
	limits        *namedLimits     // that replicas have named

	mu            sync.Mutex
	random        *rand.Rand // for the replicas' faults
	faultShare    float64    // share of requests that meet a fault of their replica
	pauseShare    float64    // share of requests that are refused with a Retry-After
	brokenShare   float64    // share of requests that meet brokenFault
	brokenFault   replica.Fault
	configVersion int                  // of the newest configuration that was written in the store
	silentUntil   map[string]time.Time // by ID of the replica: the end of its last pause
	revokedAt     map[string]time.Time // by key: when the store got the first configuration without it
}

// host is an entry host. Its process is started again after a kill.
type host struct {
	name        string
	domain      string // its failure domain
	settings    string
	paths       *hostPaths
	callersAddr netip.AddrPort
	readyAddr   netip.AddrPort

	mu          sync.Mutex
	process     *exec.Cmd
	running     bool          // false once the test has asked the process to exit
	exited      chan struct{} // closed when process has exited
	startedAt   time.Time     // last start
	disturbedAt time.Time     // last signal, start or stop
	brokenAt    time.Time     // last start, or signal other than SIGTERM and SIGHUP
	stoppedAt   time.Time     // first SIGTERM of this process; zero if there was none
}

// startRelay starts a relay to target that runs until the test ends, and returns it and its address.
func startRelay(t *testing.T, target netip.AddrPort) (*relay.Relay, netip.AddrPort) {
	t.Helper()
	r := &relay.Relay{Target: target}
	address, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, address
}

// newDeployment starts a deployment. It does not wait until the hosts are ready.
func newDeployment(t *testing.T, binary string, seed uint64) *deployment {
	t.Helper()
	sample, err := os.ReadFile("../../examples/platform/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{
		t: t, binary: binary, dir: t.TempDir(), store: &metastore.Store{}, requestLog: &replica.RequestLog{},
		config: string(sample), limits: &namedLimits{byID: make(map[string][]namedLimit)},
		random: rand.New(rand.NewPCG(seed, 2)), revokedAt: make(map[string]time.Time), silentUntil: make(map[string]time.Time),
	}
	var storeAddress netip.AddrPort
	d.storeRelay, storeAddress = startRelay(t, listener.ServeHTTP(t, d.store))
	clock := &replica.Clock{Fleet: &passes.Fleet{Params: engineParameters}}
	names := make(map[netip.AddrPort]string)
	for i := range *engineCount + serviceCount {
		r := &replica.Replica{
			ID: fmt.Sprintf("i-%d", i), Service: "quote-llm", FailureDomain: failureDomain(i), Slots: 16,
			Log:   d.requestLog,
			Clock: clock, EngineNames: func() map[netip.AddrPort]string { return names }, Fault: d.fault,
		}
		if i >= *engineCount {
			r.Service, r.Clock, r.ServiceTime, r.Slots = "order-desk", nil, 10*time.Millisecond, 6
		}
		replicaRelay, address := startRelay(t, listen(t, r))
		r.Address = address
		r.CrashesOn, r.OnCrash = isCrashingPart, replicaRelay.Refuse
		r.OnReturn = func() {
			d.limits.restarted(r.ID)
			replicaRelay.Accept()
			d.store.Put("servers/"+r.ID, r.Entry("ready"))
		}
		names[address] = r.ID
		d.replicas = append(d.replicas, r)
		d.replicaRelays = append(d.replicaRelays, replicaRelay)
		d.store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	d.configVersion = 1
	d.putConfiguration()
	for i := range *hostCount {
		d.peers = append(d.peers, hostAddress(i, peerPort))
	}
	for i := range *hostCount {
		d.addHost(i, storeAddress)
	}
	return d
}

// fault returns a random fault, one of those up to FaultDuplicate, for a share of faultShare of the requests, and otherwise
// FaultNone; setPauseShare and setBroken add further faults.
func (d *deployment) fault(*http.Request) replica.Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pauseShare > 0 && rand.Float64() < d.pauseShare {
		return replica.FaultAskPause
	}
	if d.brokenShare > 0 && rand.Float64() < d.brokenShare {
		return d.brokenFault
	}
	if d.random.Float64() >= d.faultShare {
		return replica.FaultNone
	}
	return replica.Fault(1 + d.random.IntN(int(replica.FaultDuplicate)))
}

// setPauseShare sets the share of requests that are refused with a Retry-After.
func (d *deployment) setPauseShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pauseShare = share
}

// rewriteStore writes again what the operator and the replicas have written last.
func (d *deployment) rewriteStore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putConfiguration()
	for _, r := range d.replicas {
		d.store.Put("servers/"+r.ID, r.Entry("ready"))
	}
}

// restartReplica makes a replica that leaves a new incarnation, which the store lists.
func (d *deployment) restartReplica(r *replica.Replica) {
	r.Restart()
	d.limits.restarted(r.ID)
	d.store.Put("servers/"+r.ID, r.Entry("ready"))
}

func (d *deployment) setFaultShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faultShare = share
}

// putConfiguration writes the newest version of the configuration, in which two keys are valid, to the store.
func (d *deployment) putConfiguration() {
	keys := []string{fmt.Sprint("key-", d.configVersion-1), fmt.Sprint("key-", d.configVersion)}
	text := strings.Replace(d.config, `"version": 1`, fmt.Sprintf(`"version": %d`, d.configVersion), 1)
	text = strings.Replace(text, `"demo-key"`, `"`+strings.Join(keys, `","`)+`"`, 1)
	d.store.Put("op/config", []byte(text))
}

// failureDomain returns the failure domain of the host or replica with the given index.
func failureDomain(i int) string { return string(rune('a' + i%3)) }

// Ports of each entry host, which has an address of its own.
const (
	callerPort = 18080 + iota
	readyPort
	peerPort
)

// hostAddress returns an address of entry host i, of 255 at most, in 127.0.0.0/8. It follows from the process ID, so that soaks that
// run beside each other use different ones.
func hostAddress(i int, port uint16) netip.AddrPort {
	pid := os.Getpid()
	address := netip.AddrFrom4([4]byte{127, byte(64 + pid%64), byte(pid / 64), byte(i + 1)})
	return netip.AddrPortFrom(address, port)
}

// addHost writes the settings of entry host i and starts it. The first three hosts are its seeds.
func (d *deployment) addHost(i int, store netip.AddrPort) {
	h := &host{
		name: fmt.Sprintf("front-%d", i), domain: failureDomain(i), callersAddr: hostAddress(i, callerPort),
		readyAddr: hostAddress(i, readyPort), settings: filepath.Join(d.dir, fmt.Sprintf("%d.toml", i)),
	}
	seeds := fmt.Sprintf(`%q, %q, %q`, d.peers[0], d.peers[1], d.peers[2])
	text := fmt.Sprintf(`nodeName = %q
zone = %q
seeds = [%s]
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
`, h.name, h.domain, seeds, h.callersAddr, h.readyAddr, d.peers[i], revocationDelay.Milliseconds(), store)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	h.paths = newHostPaths(d, filepath.Join(d.dir, h.name+".paths"))
	d.hosts = append(d.hosts, h)
	d.start(h)
	d.t.Cleanup(func() { h.kill() })
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

// start starts the host's process after its previous one has exited. It does nothing if the host is running. If the
// process exits without being asked to, the test fails.
func (d *deployment) start(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running {
		return
	}
	if h.exited != nil {
		<-h.exited
	}
	logs, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.Command(d.binary, "gateway", "--settings", h.settings)
	cmd.Env = append(os.Environ(), paths.FileVariable+"="+h.paths.file)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	exited := make(chan struct{})
	h.process, h.running, h.startedAt, h.exited = cmd, true, time.Now(), exited
	h.disturbedAt, h.brokenAt, h.stoppedAt = h.startedAt, h.startedAt, time.Time{}
	go func() {
		err := cmd.Wait()
		logs.Close()
		close(exited)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.process != cmd || !h.running {
			return
		}
		if h.hungUpWhileLoading() {
			h.running = false
			time.AfterFunc(restartDelay, func() { d.start(h) })
			return
		}
		d.t.Errorf("%s exited unexpectedly: %v", h.name, err)
	}()
}

// hungUpWhileLoading reports whether the process was ended by a SIGHUP that came before any program could handle it.
func (h *host) hungUpWhileLoading() bool {
	status, ok := h.process.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signal() == syscall.SIGHUP && h.disturbedAt.Sub(h.startedAt) < loadTime
}

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbedAt = time.Now()
	switch {
	case s != syscall.SIGTERM && s != syscall.SIGHUP:
		h.brokenAt = h.disturbedAt
	case s == syscall.SIGTERM && h.stoppedAt.IsZero():
		h.stoppedAt = h.disturbedAt
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.running = false
	}
	if h.process != nil {
		// An error means that the process has exited already.
		_ = h.process.Process.Signal(s)
	}
}

func (h *host) kill() { h.signal(syscall.SIGKILL) }

// undisturbedSince reports whether the host has got no signal, start or stop since at.
func (h *host) undisturbedSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbedAt.Before(at)
}

func (h *host) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.readyAddr.String() + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady reports whether all hosts become ready at the same time within limit.
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

// saveLogs copies the hosts' logs to dir, so that they outlast the test's own temporary directory.
func (d *deployment) saveLogs(dir string) {
	files, _ := filepath.Glob(filepath.Join(d.dir, "*.log"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		d.t.Log(err)
		return
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(name)), data, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "turmericshunt")
	out, err := exec.Command("go", "build", "-tags", "soak", "-o", binary, "./host").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, bytes.TrimSpace(out))
	}
	return binary
}
