package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
)

// world is the platform around the entry hosts of one case.
type world struct {
	program string
	folder  string // for settings and logs of the entry hosts
	began   time.Time
	store   *metastore.Store
	storeAt netip.AddrPort
	servers []*http.Server
	hosts   []*host

	mu     sync.Mutex
	record *os.File
}

func newWorld(program, record string) (*world, error) {
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, folder: folder, began: time.Now(), store: &metastore.Store{}, record: out}
	w.storeAt, err = w.serve(w.store)
	return w, err
}

// note writes a line to the record, with the time since the start of the case.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves h on a free loopback port.
func (w *world) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Ports of the hosts are below those that the system gives to outgoing connections.
const firstPort, portCount = 10000, 20000

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, h := range w.hosts {
		_ = h.process.Signal(syscall.SIGKILL)
		_, _ = h.process.Wait()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// host is one entry host.
type host struct {
	name, zone             string
	cpuShare               float64
	caller, ready, control string
	process                *os.Process
}

// newHost returns a host with free addresses that doesn't run yet.
func newHost(name, zone string, cpuShare float64) (*host, error) {
	h := &host{name: name, zone: zone, cpuShare: cpuShare}
	for _, a := range []*string{&h.caller, &h.ready, &h.control} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	return h, nil
}

const settingsText = `nodeName = %q
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = %q
region = "nordeste"
internalPortRange = [%d,%d]
seeds = [%q]
bootstrap = true
heartbeatMs = 1200
[zones]
zone-a = "nordeste"
zone-b = "nordeste"
[listenAddrs]
front = %q
ready = %q
control = %q
[limits]
cpuShare = %g
cpuCores = 1
memoryMb = 206
maxFds = 2940
linkMbps = 700.0
diskMb = 0
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
drainMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 234
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// start starts the hosts, the first of which is the seed of all.
func (w *world) start(hosts []*host) error {
	for _, h := range hosts {
		metrics, err := freeAddress()
		if err != nil {
			return err
		}
		port := netip.MustParseAddrPort(metrics).Port()
		text := fmt.Sprintf(settingsText, h.name, h.zone, port, port, hosts[0].control, h.caller, h.ready, h.control,
			h.cpuShare, w.storeAt.String())
		settings := filepath.Join(w.folder, h.name+".toml")
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(w.folder, h.name+".log"))
		if err != nil {
			return err
		}
		h.process, err = os.StartProcess(w.program, []string{w.program, "gateway"}, &os.ProcAttr{
			Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "TURMERICSHUNT_SETTINGS=" + settings},
			Files: []*os.File{nil, log, log},
		})
		_ = log.Close()
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		w.note("host %s in %s started, callers at %s", h.name, h.zone, h.caller)
	}
	return nil
}

// awaitReady waits until all hosts say that they are ready.
func (w *world) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			if resp, err := client.Get("http://" + h.ready + "/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.hosts) {
			return nil
		}
	}
	return errors.New("the hosts don't become ready")
}
