package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
)

const (
	readyTimeout = 15 * time.Second // until all hosts that were started count as ready
	endTimeout   = 3 * time.Second  // until a host that was told to stop is killed
	apiKey       = "review-key"
	otherKey     = "other-key" // of another tenant
	callHost     = "review.example"
)

// world is one small deployment on loopback addresses.
type world struct {
	trouble bool // the disruption is played
	store   *metastore.Store
	hosts   []*host

	storeAddress string
	folder       string // for settings and logs
	began        time.Time
	mu           sync.Mutex // guards record
	closeOnce    sync.Once
	record       *os.File
}

// host is an entry host, which runs as a process.
type host struct {
	name                  string
	front, ready, control string // addresses
	internalPort          int
	command               *exec.Cmd
	settings              string // path of the settings file
	ended                 chan struct{}
	startedAt             time.Time
	storeAddress          string
}

// newWorld starts the store and opens the record in a folder.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", store: &metastore.Store{}, folder: temporary, record: record,
		began: time.Now(),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	w.note("trouble: %v", w.trouble)
	return w, nil
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), line)
	if strings.HasPrefix(line, "result") || strings.HasPrefix(line, "the case") || strings.HasPrefix(line, "sum:") {
		fmt.Println(line)
	}
}

// close ends all hosts and removes the temporary folder. It does nothing when it is called again.
func (w *world) close() { w.closeOnce.Do(w.end) }

func (w *world) end() {
	for _, h := range w.hosts {
		if h.command != nil {
			_ = h.command.Process.Signal(syscall.SIGCONT)
			_ = h.command.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, h := range w.hosts {
		if h.command == nil {
			continue
		}
		select {
		case <-h.ended:
		case <-time.After(endTimeout):
			_ = h.command.Process.Kill()
			<-h.ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.folder))
	}
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// The ports of hosts are below those that the system gives to outgoing connections.
const (
	firstPort = 18000
	portRange = 12000
)

// freePorts returns n ports that are free now.
func freePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range portRange {
		if len(ports) == n {
			return ports, nil
		}
		port := firstPort + rand.IntN(portRange)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, port)
	}
	return nil, errors.New("too few free ports")
}

const settingsText = `nodeName = "%s"
role = "gateway"
machineClass = "front"
serves = ["front", "control"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internalPortRange = [%d, %d]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
a = "r"
[listenAddrs]
front = "%s"
ready = "%s"
control = "%s"
[limits]
cpuShare = 0.272
cpuCores = 1
memoryMb = 206
maxFds = 2940
linkMbps = 700.0
[bounds]
stableWindowMs = 3000
drainMs = 2000
gracePeriodS = 8
configApplyMs = 2000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 234
recoverS = 12
freeMs = 4000
idleMaxMs = 9000
[platform]
address = "%s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// addHosts prepares n hosts, of which the first three are seeds.
func (w *world) addHosts(n int) error {
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		p := ports[4*i:]
		address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
		w.hosts = append(w.hosts, &host{
			name: fmt.Sprintf("front-%d", i+1), front: address(p[0]), ready: address(p[1]), control: address(p[2]),
			internalPort: p[3], storeAddress: w.storeAddress,
		})
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", address(p[2])))
		}
	}
	for _, h := range w.hosts {
		h.settings = filepath.Join(w.folder, h.name+".toml")
		text := fmt.Sprintf(settingsText, h.name, h.internalPort, h.internalPort, strings.Join(seeds, ","), h.front,
			h.ready, h.control, h.storeAddress)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a host with the command of the deploy file.
func (w *world) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(w.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/turmericshunt", "gateway")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TURMERICSHUNT_SETTINGS=" + h.settings,
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	h.command = command
	h.startedAt = time.Now()
	ended := make(chan struct{})
	h.ended = ended
	go func() {
		err := command.Wait()
		w.note("%s: process %d ended: %v", h.name, command.Process.Pid, err)
		close(ended)
	}()
	w.note("%s: process %d started, callers at %s", h.name, command.Process.Pid, h.front)
	return nil
}

// startAll starts all hosts and waits until they are ready.
func (w *world) startAll() error {
	for _, h := range w.hosts {
		if err := w.start(h); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := w.awaitReady(h); err != nil {
			return err
		}
	}
	return nil
}

// isReady reports whether a host answers the readiness check with 200.
func (h *host) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) awaitReady(h *host) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			w.note("%s: ready", h.name)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", h.name, readyTimeout)
}

// putJSON writes a key of the operator or of a replica into the store.
func (w *world) putJSON(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.store.Put(key, data)
}

// object is a JSON object.
type object map[string]any

// entry returns the entry of a ready replica.
func entry(service, address string, slots int, born time.Time) object {
	return object{
		"service": service, "address": address, "zone": "a", "version": 1, "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": born.UnixMilli(),
	}
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS, attempts int) object {
	return object{
		"name": name, "host": callHost, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "targetLatencyMs": 300,
		"priority": 1, "service": service, "maxAttempts": attempts, "public": false, "gapAimMs": 250,
	}
}

// configuration returns a configuration document with the routes.
func configuration(version int, routes ...object) object {
	engine := object{
		"slots": 16, "kvTokens": 315000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
		"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "hopMs": 0.05,
	}
	return object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": "quote-llm", "healthPath": "/health", "maxConnections": 819, "engine": engine},
			{"name": "order-desk", "healthPath": "/health", "maxConnections": 248},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{
			{"name": "tenant-1", "apiKeys": []string{apiKey}, "priority": 1},
			{"name": "tenant-2", "apiKeys": []string{otherKey}, "priority": 1},
		},
	}
}
