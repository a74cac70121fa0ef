package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case large-bodies: orders with large bodies, which maxBodyBytes allows, come in a burst.
const (
	largeBodyBytes    = 4_000_000
	largeWork         = 4 * time.Second // of a replica on one order
	largeTimeout      = 15 * time.Second
	largeInterval     = 200 * time.Millisecond // between two orders at one host
	largeBurstPercent = 280                    // of the usual orders, while the burst lasts
	largeBurstBegin   = 8 * time.Second
	largeBurstLength  = 9500 * time.Millisecond
	largeBurstPeriod  = 20 * time.Second // from one burst to the next
	largeLength       = 46 * time.Second // until the last order is sent
	largeReplicas     = 8
	largeSlots        = 24

	memoryLimitBytes  = 206 << 20 // memoryMb of the settings
	memoryCheck       = 10 * time.Millisecond
	memoryRestartTime = 500 * time.Millisecond // until the platform starts a process again that it has killed
	mostLostRequests  = 3

	largePath = "/order/b" // of an order; that of the small request is another
)

// memoryWatch is the platform's watch over the memory of the hosts: it kills a process with more than memoryLimitBytes and
// starts it again.
type memoryWatch struct {
	w      *world
	stop   chan struct{}
	ended  sync.WaitGroup
	mu     sync.Mutex
	peak   map[string]int // bytes, by host
	killed map[string][]time.Time
}

func (w *world) watchMemory() *memoryWatch {
	m := &memoryWatch{w: w, stop: make(chan struct{}), peak: make(map[string]int), killed: make(map[string][]time.Time)}
	for _, h := range w.hosts {
		m.ended.Add(1)
		go m.watch(h)
	}
	return m
}

func (m *memoryWatch) watch(h *host) {
	defer m.ended.Done()
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(memoryCheck):
		}
		used := residentBytes(h.command.Process.Pid)
		m.mu.Lock()
		m.peak[h.name] = max(m.peak[h.name], used)
		m.mu.Unlock()
		if used <= memoryLimitBytes {
			continue
		}
		m.w.note("%s: the process has %d MiB, which is over memoryMb: the platform kills it", h.name, used>>20)
		m.mu.Lock()
		m.killed[h.name] = append(m.killed[h.name], time.Now())
		m.mu.Unlock()
		_ = h.command.Process.Signal(syscall.SIGKILL)
		<-h.ended
		time.Sleep(memoryRestartTime)
		if err := m.w.start(h); err != nil {
			m.w.note("%s: %v", h.name, err)
			return
		}
	}
}

// end ends the watch.
func (m *memoryWatch) end() {
	close(m.stop)
	m.ended.Wait()
}

// residentBytes returns the resident memory of a process that belongs to it alone, 0 if the process has ended.
func residentBytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "RssAnon:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib << 10
		}
	}
	return 0
}

// largeOrder is one order with a large body.
type largeOrder struct {
	id     string
	host   *host
	answer *answer
}

func largeBodies(w *world) (bool, error) {
	if err := w.addHosts(3); err != nil {
		return false, err
	}
	var replicas []*plainReplica
	for i := range largeReplicas {
		p, err := w.startReplica(fmt.Sprintf("order-desk-%d", i+1), func(p *plainReplica, rw http.ResponseWriter, r *http.Request) {
			runLargeOrder(w, p, rw, r)
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, p)
		w.putJSON("servers/"+p.id, entry("order-desk", p.address, largeSlots, w.began))
	}
	w.putJSON("op/config", configuration(1, route("order", "/order/", "unsafe", "order-desk", int(largeTimeout.Milliseconds()), 1)))
	if err := w.startAll(); err != nil {
		return false, err
	}
	watch := w.watchMemory()
	orders := w.sendLargeOrders()
	watch.end()
	return w.judgeLargeOrders(orders, replicas, watch), nil
}

// runLargeOrder runs a request at a replica: the small one with which a caller opens its connection at once, an order in
// largeWork.
func runLargeOrder(w *world, p *plainReplica, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.ContentLength > 0 {
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != largeBodyBytes {
			return
		}
		p.begin(w, r)
		select {
		case <-time.After(largeWork):
		case <-r.Context().Done():
			w.note("replica %s: the connection of request %s has ended", p.id, id)
			return
		}
	}
	succeed(rw, id, "done")
}

// sendLargeOrders sends the orders, each on a kept connection of its own, and returns them when all have ended.
func (w *world) sendLargeOrders() []*largeOrder {
	var orders []*largeOrder
	var sent sync.WaitGroup
	begin := time.Now()
	next := make([]time.Time, len(w.hosts))
	for i := range next {
		next[i] = begin.Add(time.Duration(i) * largeInterval / time.Duration(len(w.hosts)))
	}
	for n := 0; time.Since(begin) < largeLength; time.Sleep(time.Millisecond) {
		for i, h := range w.hosts {
			if time.Now().Before(next[i]) {
				continue
			}
			interval := largeInterval
			if t := next[i].Sub(begin) - largeBurstBegin; w.trouble && t >= 0 && t%largeBurstPeriod < largeBurstLength {
				interval = largeInterval * 100 / largeBurstPercent
			}
			next[i] = next[i].Add(interval)
			n++
			o := &largeOrder{id: fmt.Sprintf("order-%d", n), host: h}
			orders = append(orders, o)
			sent.Go(func() { w.sendLargeOrder(o, largeBodyBytes) })
		}
	}
	sent.Wait()
	return orders
}

// sendLargeOrder opens a connection with a small request, which is answered, and sends an order with a body of so many bytes
// on it.
func (w *world) sendLargeOrder(o *largeOrder, bodyBytes int) {
	c, err := net.DialTimeout("tcp", o.host.front, time.Second)
	if err != nil {
		o.answer = &answer{err: err}
		w.note("%s at %s: no connection (%v)", o.id, o.host.name, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(largeTimeout + 5*time.Second))
	reader := bufio.NewReader(c)
	small := &request{method: http.MethodPost, path: "/order/a", id: o.id + "-first", timeout: largeTimeout}
	large := &request{
		method: http.MethodPost, path: largePath, id: o.id, timeout: largeTimeout, body: make([]byte, bodyBytes),
	}
	for _, r := range []*request{small, large} {
		began := time.Now()
		if _, err := c.Write(r.bytes()); err != nil {
			o.answer = &answer{err: err, took: time.Since(began)}
			break
		}
		o.answer = readAnswer(reader, r, began)
		if o.answer.status != http.StatusOK {
			break
		}
	}
	w.note("%s at %s: %v", o.id, o.host.name, o.answer)
}

// judgeLargeOrders reports whether more than mostLostRequests orders were passed on from kept connections to a replica, which
// is sound, and got no answer.
func (w *world) judgeLargeOrders(orders []*largeOrder, replicas []*plainReplica, watch *memoryWatch) bool {
	lost, answered, refused := 0, 0, 0
	for _, o := range orders {
		ran := 0
		for _, p := range replicas {
			ran += p.runs(o.id)
		}
		switch {
		case o.answer.status == http.StatusOK:
			answered++
		case o.answer.status != 0:
			refused++
		case ran > 0:
			lost++
		}
	}
	for _, h := range w.hosts {
		w.note("sum: %s had %d MiB at most and was killed %d times for it", h.name, watch.peak[h.name]>>20, len(watch.killed[h.name]))
	}
	w.note("sum: of %d orders %d were served, %d were answered otherwise, and %d ran at a replica and got no answer (%d are allowed)",
		len(orders), answered, refused, lost, mostLostRequests)
	return lost > mostLostRequests
}
