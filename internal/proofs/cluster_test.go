//go:build proofs

package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/engine"
	"github.com/turmericshunt/turmericshunt/internal/standin/relay"
	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const (
	engineSpeed      = 10 // factor by which the stand-in engines are faster than rated
	startTimeout     = 30 * time.Second
	applyTimeout     = 15 * time.Second
	pollInterval     = 50 * time.Millisecond
	enginesPerDomain = 2
)

var (
	domains   = []string{"ne-1", "ne-2"}
	sections  = []string{"models", "workspaces", "services", "non_idempotent", "scheduling"}
	binaryDir string // directory of the built programs
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proofs")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/turmericshunt", "../../cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// process is a program under test; start can run it again after it has exited.
type process struct {
	t        *testing.T
	name     string
	args     []string
	logFile  string // of all runs; each run appends to it
	cmd      *exec.Cmd
	exited   chan struct{} // closed when cmd has exited
	exitCode int           // valid once exited is closed
}

func (p *process) start() {
	p.t.Helper()
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer logFile.Close()
	p.cmd = exec.Command(filepath.Join(binaryDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		p.exitCode = cmd.ProcessState.ExitCode()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// awaitExit waits for the process to exit and returns its exit code. After limit it fails the test and returns -1.
func (p *process) awaitExit(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.exitCode
	case <-time.After(limit):
		p.t.Errorf("%s has not exited within %v", p.name, limit)
		return -1
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// cluster is a set of entry hosts, engines, one service and one platform on the loopback address.
type cluster struct {
	t        *testing.T
	dir      string
	platform *process
	service  *process
	entries  []*entryHost
	engines  []*engineHost

	platformAddr netip.AddrPort
	serviceAddr  netip.AddrPort
	timing       map[string]string // section timing of the entry hosts' settings
}

// entryHost is an entry host with the addresses of its listeners.
type entryHost struct {
	*process
	domain    string
	callers   netip.AddrPort
	peers     netip.AddrPort
	operators netip.AddrPort
}

func (e *entryHost) url() string { return "http://" + e.callers.String() }

// engineHost is a stand-in engine behind a relay.
type engineHost struct {
	*process
	domain     string
	engineAddr netip.AddrPort // of the engine itself, for faults and checks
	relay      *relay.Relay   // between the entry hosts and the engine; it can make connections silent
	relayAddr  netip.AddrPort // as the platform lists it for the entry hosts
}

// startCluster starts a platform, a service, and in each failure domain enginesPerDomain engines and the given number
// of entry hosts. It applies the configuration and returns when every entry host is ready.
func startCluster(t *testing.T, entriesPerDomain int) *cluster {
	t.Helper()
	return startClusterWithTiming(t, entriesPerDomain, map[string]string{"balancer_delay": "500ms"})
}

// startClusterWithTiming is startCluster with other timing settings of the entry hosts.
func startClusterWithTiming(t *testing.T, entriesPerDomain int, timing map[string]string) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), platformAddr: freePort(t), serviceAddr: freePort(t), timing: timing}
	t.Cleanup(c.stop)
	for _, domain := range domains {
		for range entriesPerDomain {
			c.addEntry(domain)
		}
		for range enginesPerDomain {
			c.addEngine(domain)
		}
	}
	hosts := filepath.Join(c.dir, "hosts.json")
	c.writeJSON(hosts, c.hostList())
	c.platform = c.newProcess("platform", "standin", "platform", "--listen", c.platformAddr.String(), "--hosts", hosts)
	c.service = c.newProcess("s1", "standin", "service", "--name", "s1", "--listen", c.serviceAddr.String())
	for _, e := range c.engines {
		e.start()
	}
	c.platform.start()
	c.service.start()
	for _, e := range c.entries {
		e.start()
	}
	c.configure()
	for _, e := range c.entries {
		c.awaitReady(e)
	}
	return c
}

// lastPort is the port that freePort tried last. Ports lie below the range that the system uses for outgoing
// connections, so that none of these takes a port between freePort and the start of its program. The first port depends
// on the process id, so that test processes that run at the same time seldom try the same ports.
var lastPort atomic.Uint32

// freePort returns a loopback address with a free port that this process has not returned before; it ends the test if
// there is none.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	const first, last, spacing = 20_000, 32_000, 300
	lastPort.CompareAndSwap(0, first+uint32(os.Getpid()%40)*spacing)
	for range last - first {
		port := uint16(first + (lastPort.Add(1)-first)%(last-first))
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		if l, err := net.Listen("tcp", addr.String()); err == nil {
			l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

func (c *cluster) newProcess(name string, args ...string) *process {
	return &process{t: c.t, name: name, args: args, logFile: filepath.Join(c.dir, name+".log")}
}

func (c *cluster) addEntry(domain string) {
	name := fmt.Sprintf("e%d", len(c.entries)+1)
	file := filepath.Join(c.dir, name+".jsonc")
	e := &entryHost{
		process: c.newProcess(name, "turmericshunt", "serve", "--settings", file), domain: domain,
		callers: freePort(c.t), peers: freePort(c.t), operators: freePort(c.t),
	}
	c.entries = append(c.entries, e)
	c.writeJSON(file, map[string]any{
		"host":      map[string]string{"name": name, "failure_domain": domain, "region": "nordeste"},
		"callers":   map[string]string{"listen": e.callers.String()},
		"peers":     map[string]any{"listen": e.peers.String(), "seeds": []string{c.entries[0].peers.String()}},
		"operators": map[string]string{"listen": e.operators.String()},
		"platform":  map[string]string{"address": c.platformAddr.String()},
		"timing":    c.timing,
	})
}

func (c *cluster) addEngine(domain string) {
	name := fmt.Sprintf("g%d", len(c.engines)+1)
	addr := freePort(c.t)
	e := &engineHost{domain: domain, engineAddr: addr, relay: &relay.Relay{Target: addr}}
	e.process = c.newProcess(name, "standin", "engine", "--name", name, "--listen", addr.String(), "--model", "tender-1",
		"--speed", fmt.Sprint(engineSpeed))
	relayAddr, err := e.relay.Listen()
	if err != nil {
		c.t.Fatal(err)
	}
	e.relayAddr = relayAddr
	c.engines = append(c.engines, e)
}

// hostList returns the hosts as the platform lists them.
func (c *cluster) hostList() []platformapi.Host {
	var list []platformapi.Host
	for _, e := range c.entries {
		list = append(list, platformapi.Host{
			Name: e.name, Kind: platformapi.KindEntry, Address: e.peers, FailureDomain: e.domain, Region: "nordeste",
		})
	}
	for _, e := range c.engines {
		list = append(list, platformapi.Host{
			Name: e.name, Kind: platformapi.KindEngine, Address: e.relayAddr, FailureDomain: e.domain, Region: "nordeste",
		})
	}
	return append(list, platformapi.Host{
		Name: "s1", Kind: platformapi.KindService, Service: "orders", Address: c.serviceAddr,
		FailureDomain: domains[0], Region: "nordeste",
	})
}

func (c *cluster) writeJSON(file string, value any) {
	data, err := json.Marshal(value)
	if err == nil {
		err = os.WriteFile(file, data, 0o600)
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

// apply applies a section of the configuration, read from file, through the given entry host. It returns the command's
// output.
func (c *cluster) apply(e *entryHost, section, file string) (string, error) {
	return c.configCommand(e, "apply", section, file, "--reason", "proof", "--wait", "0s")
}

// configCommand runs "turmericshunt config" against the given entry host and returns the command's output.
func (c *cluster) configCommand(e *entryHost, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	args = append([]string{"config", "--address", "http://" + e.operators.String()}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(binaryDir, "turmericshunt"), args...).CombinedOutput()
	return string(out), err
}

// configure applies all sections of the demo configuration through the first entry host.
func (c *cluster) configure() {
	c.t.Helper()
	e := c.entries[0]
	c.await(startTimeout, "the first entry host", func() bool { return get(e.operators, "/healthz", nil) == nil })
	for _, section := range sections {
		if out, err := c.apply(e, section, filepath.Join("..", "..", "examples", "demo", section+".jsonc")); err != nil {
			c.t.Fatalf("apply %s: %v: %s", section, err, out)
		}
	}
}

func (c *cluster) awaitReady(e *entryHost) {
	c.t.Helper()
	c.await(startTimeout, e.name+" to be ready", func() bool { return get(e.operators, "/readyz", nil) == nil })
}

// await polls until condition holds and returns how long that took. It ends the test if condition does not hold within
// limit.
func (c *cluster) await(limit time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			c.t.Fatalf("waited %v in vain for %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

// stop kills all processes; if the test has failed, it also logs the end of each process's log.
func (c *cluster) stop() {
	var all []*process
	for _, e := range c.entries {
		all = append(all, e.process)
	}
	for _, e := range c.engines {
		all = append(all, e.process)
		e.relay.Close()
	}
	for _, p := range append(all, c.platform, c.service) {
		if p != nil && p.cmd != nil {
			p.kill()
		}
		if p != nil && c.t.Failed() {
			c.showLog(p)
		}
	}
}

func (c *cluster) showLog(p *process) {
	const lines = 8
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	c.t.Logf("%s: %s", p.name, strings.Join(all[max(0, len(all)-lines):], "\n\t"))
}

// httpClient is the client for the test's own requests to operators' listeners and stand-ins.
var httpClient = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get sends a GET request and decodes the JSON body of the response into the value that into points to; if into is nil,
// it discards the body. It returns an error for any status but 200.
func get(address netip.AddrPort, path string, into any) error {
	resp, err := httpClient.Get("http://" + address.String() + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %s", path, resp.Status)
	}
	if into == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func (c *cluster) post(address netip.AddrPort, path string, body any) {
	c.t.Helper()
	c.send(http.MethodPost, "http://"+address.String()+path, body)
}

// send sends body as JSON and ends the test unless the status of the response is 200.
func (c *cluster) send(method, url string, body any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("%s %s: status %s", method, url, resp.Status)
	}
}

func (c *cluster) setPlatformFaults(f platformapi.Faults) {
	c.t.Helper()
	c.post(c.platformAddr, "/v1/faults", f)
}

func (c *cluster) setEngineFaults(e *engineHost, f engineapi.Faults) {
	c.t.Helper()
	c.post(e.engineAddr, "/v1/faults", f)
}

// awaitMemoryFree waits until every engine responds and holds no memory for any owner, and returns how long that took.
func (c *cluster) awaitMemoryFree(limit time.Duration) time.Duration {
	c.t.Helper()
	var held engineapi.Allocations
	return c.await(limit, "all engine memory to be free", func() bool {
		for _, e := range c.engines {
			held = engineapi.Allocations{}
			if get(e.engineAddr, "/v1/allocations", &held) != nil || len(held.Allocations) > 0 {
				return false
			}
		}
		return true
	})
}

func (c *cluster) counts(e *engineHost) engine.Counts {
	c.t.Helper()
	var counts engine.Counts
	if err := get(e.engineAddr, "/v1/counts", &counts); err != nil {
		c.t.Fatal(err)
	}
	return counts
}

// orderRuns returns how many times the service ran each order, by idempotency key.
func (c *cluster) orderRuns() map[string]int {
	c.t.Helper()
	var counted struct {
		Runs map[string]int `json:"runs"`
	}
	if err := get(c.serviceAddr, "/runs", &counted); err != nil {
		c.t.Fatal(err)
	}
	return counted.Runs
}

func (c *cluster) status(e *entryHost) (adminapi.Status, error) {
	var s adminapi.Status
	err := get(e.operators, "/v1/status", &s)
	return s, err
}
