package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	crowdID          = "crowd-" // begins the Request-Id of each of the crowd's requests
	crowdMemoryMB    = 136      // memory of the smallest machines of grown/ and demands/
	crowdHosts       = 2
	crowdRounds      = 3 // ends of one process that are a fault
	crowdConnections = 2300
	crowdBody        = 60000 // bytes; maxBodyBytes is 4194304
	completeBodies   = 10    // one in so many bodies of the crowd is sent to its end
	crowdTime        = 4 * time.Second
	sampleInterval   = 10 * time.Millisecond
	restartDelay     = 500 * time.Millisecond
)

// crowdCase: a crowd of clients sends bodies of legal size at once, most of which stop one byte short of their end, and keeps the
// connections open.
func crowdCase(w *world) (verdict, error) {
	w.store.put("op/config", plainConfiguration())
	for n := range 3 {
		if _, err := w.startReplica(fmt.Sprintf("i-o%d", n+1), "order-desk", "", false); err != nil {
			return failed, err
		}
	}
	if err := w.startHosts(crowdHosts, crowdMemoryMB); err != nil {
		return failed, err
	}
	ends := make(map[*host]int)
	for round := range crowdRounds {
		var mu sync.Mutex
		var hosts sync.WaitGroup
		for _, h := range w.hosts {
			if a := w.ordinary(h, fmt.Sprintf("%s-%d", h.name, round)); a.status != http.StatusOK {
				return failed, fmt.Errorf("an ordinary request to %s got status %d", h.name, a.status)
			}
		}
		for _, h := range w.hosts {
			hosts.Go(func() {
				if w.playCrowd(h) {
					mu.Lock()
					ends[h]++
					mu.Unlock()
				}
			})
		}
		hosts.Wait()
		time.Sleep(restartDelay)
		for _, h := range w.hosts {
			if err := w.restartEnded(h); err != nil {
				return failed, err
			}
		}
		time.Sleep(2 * time.Second) // the hosts know each other and the replicas
	}
	machines := 0
	for _, h := range w.hosts {
		w.record("the process on %s has ended %d times", h.name, ends[h])
		if ends[h] >= crowdRounds {
			machines++
		}
	}
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}

// playCrowd lets a crowd come to a host and reports whether its process has ended: by itself, or killed by the platform because it
// has exceeded its memory.
func (w *world) playCrowd(h *host) bool {
	crowdEnds := make(chan struct{})
	var opened int
	go func() {
		defer close(crowdEnds)
		if trouble() {
			opened = w.crowd(h)
		} else {
			time.Sleep(crowdTime)
		}
	}()
	peak := h.watch(crowdEnds, crowdMemoryMB<<20)
	over := peak.resident+peak.unread > crowdMemoryMB<<20
	if over {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
	}
	<-crowdEnds
	w.record("%s: %d connections of the crowd; peak of %d bytes, %d resident and %d unread, of %d; killed by the platform: %t",
		h.name, opened, peak.resident+peak.unread, peak.resident, peak.unread, crowdMemoryMB<<20, over)
	return over || h.hasEnded()
}

// hasEnded reports whether the host's process has ended.
func (h *host) hasEnded() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// restartEnded starts the host's process again if it has ended, and waits until the host is ready.
func (w *world) restartEnded(h *host) error {
	if h.hasEnded() {
		if err := h.start(w); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(readyIn); !h.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s isn't ready after the crowd", h.name)
		}
	}
	return nil
}

// ordinary sends a request of an ordinary client.
func (w *world) ordinary(h *host, id string) answer {
	return w.call(h, http.MethodGet, "/lookups/1", id, nil, nil, 2*time.Second)
}

// crowd opens connections to a host at once, sends a request on each and closes all after crowdTime. It returns how many it has
// opened.
func (w *world) crowd(h *host) int {
	filler := strings.Repeat("x", crowdBody)
	var opened atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(crowdTime)
	for n := range crowdConnections {
		clients.Go(func() {
			c, err := net.DialTimeout("tcp", h.front, crowdTime)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			opened.Add(1)
			_ = c.SetDeadline(end)
			length := crowdBody
			if n%completeBodies != 0 {
				length++
			}
			_, _ = fmt.Fprintf(c, "POST /lookups/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s%d\r\nTimeout-Remaining: 15000\r\n"+
				"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", hostName, crowdID, n, apiKey, length, filler)
			time.Sleep(time.Until(end))
		})
	}
	clients.Wait()
	return int(opened.Load())
}

// usage is the memory of a process as the platform counts it.
type usage struct{ resident, unread int64 }

// watch samples the memory of the host's process until stop is closed, or until it exceeds the limit. It returns the largest sample.
func (h *host) watch(stop <-chan struct{}, limit int64) usage {
	var peak usage
	for {
		u := usage{resident: h.resident(), unread: h.unread()}
		if u.resident+u.unread > peak.resident+peak.unread {
			peak = u
		}
		if peak.resident+peak.unread > limit {
			return peak
		}
		select {
		case <-stop:
			return peak
		case <-time.After(sampleInterval):
		}
	}
}

// resident returns the resident memory of the process in bytes.
func (h *host) resident() int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10
}

// unread returns the bytes that have been received on the front address and that the process hasn't read.
func (h *host) unread() int64 {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	_, portText, _ := net.SplitHostPort(h.front)
	port, _ := strconv.Atoi(portText)
	local := fmt.Sprintf(":%04X", port)
	var total int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == "0A" || !strings.HasSuffix(fields[1], local) { // 0A: the listener itself
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += n
	}
	return total
}
