package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
)

const (
	hostName = "quotes.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	readPerS = 177000.0 // prompt tokens that a model replica reads in a second
	readyIn  = 15 * time.Second
)

// run is one request, or a part of one, that a replica has begun to work on.
type run struct {
	replica *replica
	id      string
	path    string
	helper  bool // the replica reads a part of the prompt for another one
}

// world is all that surrounds the entry hosts of one test, and the hosts themselves.
type world struct {
	store  *store
	dir    string // temporary folder
	deploy string // command of the deploy file
	out    *bufio.Writer
	began  time.Time
	hosts  []*host

	mu       sync.Mutex
	replicas map[string]*replica // by address
	runs     []run
}

// host is one entry host.
type host struct {
	name, front, ready, control string
	status                      string // address of its status
	settings                    string // path of the settings file
	memoryMB                    int
	cmd                         *exec.Cmd
	done                        chan struct{} // closed when the process has ended
	lost                        bool          // its machine has lost power for good
}

// record writes a line of the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%7.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_ = w.out.Flush()
}

// recordRun records that a replica begins to work on a request.
func (w *world) recordRun(r *replica, id string, req *http.Request, helper bool) {
	what := "runs"
	if helper {
		what = "reads a part of the prompt of"
	}
	if !quiet(id) {
		w.record("%s (%s) %s %s %s %s", r.id, r.service, what, id, req.Method, req.URL.Path)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{replica: r, id: id, path: req.URL.Path, helper: helper})
}

// quiet reports whether a request is one of so many that they aren't recorded one by one.
func quiet(id string) bool { return strings.HasPrefix(id, crowdID) || strings.HasPrefix(id, limitID) }

// runsOf returns what replicas have worked on for a request.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []run
	for _, r := range w.runs {
		if r.id == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// at returns the replica that is alive at an address, nil if there is none.
func (w *world) at(address string) *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replicas[address]
}

// The ports from which addresses are taken. Outgoing connections don't get them.
const firstPort, lastPort = 20000, 32000

// given are the ports that freeAddress has returned.
var given = make(map[int]bool)

// freeAddress returns a loopback address at which nothing listens. It isn't safe for concurrent use.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if given[port] {
			continue
		}
		given[port] = true
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

// startHosts starts entry hosts, which are seeds of each other, and waits until all are ready.
func (w *world) startHosts(count, memoryMB int) error {
	w.addHosts(count, memoryMB)
	var seeds []string
	for _, h := range w.hosts {
		seeds = append(seeds, h.control)
	}
	return w.startAll(w.hosts, seeds)
}

// addHosts adds entry hosts without starting them.
func (w *world) addHosts(count, memoryMB int) {
	for range count {
		h := &host{
			name: fmt.Sprintf("front-%d", len(w.hosts)+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(),
			status: freeAddress(), memoryMB: memoryMB,
		}
		h.settings = filepath.Join(w.dir, h.name+".toml")
		w.hosts = append(w.hosts, h)
	}
}

// startAll starts entry hosts with the given seeds and waits until they are ready.
func (w *world) startAll(hosts []*host, seeds []string) error {
	list := `"` + strings.Join(seeds, `","`) + `"`
	for _, h := range hosts {
		if err := os.WriteFile(h.settings, []byte(h.settingsText(w, list)), 0o600); err != nil {
			return err
		}
		if err := h.start(w); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyIn)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready after %v", h.name, readyIn)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record("%d entry hosts are ready", len(hosts))
	return nil
}

// settingsText returns the settings of a host in the platform's format.
func (h *host) settingsText(w *world, seeds string) string {
	_, port, _ := net.SplitHostPort(h.status)
	return fmt.Sprintf(`nodeName = "%s"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
internalPortRange = [%s, %s]
zone = "a"
region = "nordeste"
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
a = "nordeste"
[listenAddrs]
front = "%s"
ready = "%s"
control = "%s"
[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = %d
maxFds = 2870
linkMbps = 700.0
[faultTolerance]
machines = 2
zones = 1
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
drainMs = 2000
gracePeriodS = 8
configApplyMs = 2000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 234
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[platform]
address = "%s"
form = "kv"
writesPerS = 400
readsPerS = 2000
`, h.name, port, port, seeds, h.front, h.ready, h.control, h.memoryMB, w.store.address)
}

// start starts the host's process with the command of the deploy file.
func (h *host) start(w *world) error {
	words := strings.Fields(w.deploy)
	log, err := os.Create(filepath.Join(w.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command(words[0], words[1:]...)
	h.cmd.Env = append(os.Environ(), "TURMERICSHUNT_SETTINGS="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		_ = log.Close()
		close(h.done)
	}()
	return nil
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all entry hosts.
func (w *world) stop() {
	for _, h := range w.hosts {
		if h.done != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.done
		}
	}
}

// answer is what a client has got.
type answer struct {
	status    int // 0 if there was none
	header    http.Header
	body      string
	err       error
	signature string
}

// call sends one request of a client on a new connection.
func (w *world) call(h *host, method, path, id string, header map[string]string, body io.Reader, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = hostName
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Remaining", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	record := w.record
	if quiet(id) {
		record = func(string, ...any) {}
	}
	record("client sends %s %s %s to %s", id, method, path, h.name)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		record("client gets no answer to %s: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a := answer{
		status: resp.StatusCode, header: resp.Header, body: string(data), err: err,
		signature: resp.Header.Get("Response-Signature"),
	}
	record("client gets %d to %s: %d bytes, signature %q, retry after %q, error %v", a.status, id, len(data), a.signature,
		resp.Header.Get("Retry-After"), err)
	return a
}
