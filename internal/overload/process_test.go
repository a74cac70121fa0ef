//go:build overload

package overload

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

const (
	sampleInterval = 20 * time.Millisecond
	readyTime      = 20 * time.Second // until a host is ready
	answerTime     = 30 * time.Second // until an ordinary request is answered after the crowd has gone
)

// host is an entry host in a process of its own.
type host struct {
	t                              *testing.T
	process                        *exec.Cmd
	exited                         chan struct{}
	request                        []byte // body of an ordinary request
	callers, ready, peers, metrics netip.AddrPort
}

// startHost starts an entry host with the given limits, a store and one replica of a plain service, and waits until it is
// ready.
func startHost(t *testing.T, memoryMB, descriptors int) *host {
	t.Helper()
	config, err := os.ReadFile("../../examples/platform/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	store := &metastore.Store{}
	server := &replica.Replica{
		ID: "i-0", Service: "order-desk", FailureDomain: "a", Slots: 6, ServiceTime: 50 * time.Millisecond,
		Log: &replica.RequestLog{},
	}
	if server.Address, err = server.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	store.Put("servers/i-0", server.Entry("ready"))
	store.Put("op/config", config)
	h := &host{
		t: t, exited: make(chan struct{}),
		callers: freeAddress(t), ready: freeAddress(t), peers: freeAddress(t), metrics: freeAddress(t),
	}
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("nodeName = 'h'\nzone = 'a'\nip = '127.0.0.1'\ninternalPortRange = [%d, %d]\n"+
		"[listenAddrs]\nfront = '%s'\nready = '%s'\ncontrol = '%s'\n[limits]\ncpuShare = 1.0\nmemoryMb = %d\nmaxFds = %d\n"+
		"[bounds]\ngracePeriodS = 5\n[platform]\naddress = '%s'\n",
		h.metrics.Port(), h.metrics.Port(), h.callers, h.ready, h.peers, memoryMB, descriptors, listener.ServeHTTP(t, store))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = exec.Command(binary, "gateway", "--settings", settings)
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = h.process.Wait(); close(h.exited) }()
	t.Cleanup(func() { _ = h.process.Process.Kill(); <-h.exited })
	h.await(readyTime, "http://"+h.ready.String()+"/ready")
	return h
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// await sends an ordinary request until it is answered with status 200.
func (h *host) await(limit time.Duration, url string) {
	h.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	seen := "no request sent"
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(h.request))
		req.Host = "quotes.example"
		req.Header = http.Header{
			"Request-Id": {"ordinary"}, "Timeout-Remaining": {"5000"}, "Authorization": {"Bearer demo-key"},
		}
		resp, err := client.Do(req)
		if err != nil {
			seen = err.Error()
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		seen = resp.Status
	}
	h.t.Errorf("no answer from %s: %s", url, seen)
}

// status returns a value in KiB of the process's status as bytes.
func (h *host) status(key string) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	_, rest, _ := strings.Cut(string(data), key+":")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.Atoi(fields[0])
	return kib << 10
}

// unread returns the bytes that the kernel has received on the host's addresses and no process has read.
func (h *host) unread() int {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	total := 0
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == "0A" { // a listener, whose queue counts connections
			continue
		}
		for _, a := range []netip.AddrPort{h.callers, h.ready, h.peers, h.metrics} {
			if strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", a.Port())) {
				_, queue, _ := strings.Cut(fields[4], ":")
				n, _ := strconv.ParseInt(queue, 16, 64)
				total += int(n)
			}
		}
	}
	return total
}

func (h *host) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid))
	return len(entries)
}

// peaks are the largest values seen.
type peaks struct{ memory, unread, descriptors int }

// watch samples until stop is called, which returns the peaks: memory is the largest sum of resident and unread bytes.
func (h *host) watch() (stop func() peaks) {
	done := make(chan struct{})
	var p peaks
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			unread := h.unread()
			p.memory = max(p.memory, h.status("VmRSS")+unread)
			p.unread = max(p.unread, unread)
			p.descriptors = max(p.descriptors, h.descriptors())
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return func() peaks {
		close(done)
		sampling.Wait()
		p.memory = max(p.memory, h.status("VmHWM"))
		return p
	}
}
