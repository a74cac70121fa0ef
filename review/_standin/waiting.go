package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	waitingSlots   = 2
	waitingBehind  = 3
	longWork       = 9 * time.Second // of the requests that hold the slots
	shortWork      = time.Second     // of those that wait
	waitingTimeout = 15 * time.Second
	termDelay      = 300 * time.Millisecond // from the requests that wait to SIGTERM
	gracePeriod    = 8 * time.Second
)

// slottedOrders returns the handler of a replica that runs as many orders at once as it has slots and queues the others. It
// drops an order from its queue when the connection is closed.
func (w *world) slottedOrders() func(p *plainReplica, rw http.ResponseWriter, r *http.Request) {
	slots := make(chan bool, waitingSlots)
	return func(p *plainReplica, rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Request-Id")
		select {
		case slots <- true:
		case <-r.Context().Done():
			w.note("replica %s: request %s dropped from the queue, its connection was closed", p.id, id)
			return
		}
		defer func() { <-slots }()
		p.begin(w, r)
		work := shortWork
		if strings.HasPrefix(id, "aa") {
			work = longWork
		}
		time.Sleep(work)
		w.note("replica %s: request %s has run", p.id, id)
		succeed(rw, id, "done "+id+"\n")
	}
}

// orderClients sends orders to one host and keeps the answers.
type orderClients struct {
	w       *world
	host    *host
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers map[string]*answer // by the id of the request
}

// start sends n orders in the background, whose ids begin with prefix.
func (o *orderClients) start(prefix string, n int) {
	for i := range n {
		id := fmt.Sprintf("%s%06x", prefix, i)
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			o.w.note("client: request %s to %s, which it gives %v", id, o.host.name, waitingTimeout)
			a := send(o.host.front, &request{
				method: http.MethodPost, path: "/orders/" + id, id: id, timeout: waitingTimeout, body: []byte("two dies"),
			})
			o.w.note("client: request %s: %s", id, a)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.answers[id] = a
		}()
	}
}

// waitingAtStop stops a host with SIGTERM while requests that it has read wait for a free slot of a replica.
func waitingAtStop(w *world) (bool, error) {
	replica, err := w.startReplica("i-1", w.slottedOrders())
	if err != nil {
		return false, err
	}
	w.putJSON("op/config", configuration(1, route("orders", "/orders/", "unsafe", "order-desk", 15000, 1)))
	w.putJSON("servers/i-1", entry("order-desk", replica.address, waitingSlots, w.began))
	if err := w.addHosts(3); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stopped := w.hosts[0]
	orders := &orderClients{w: w, host: stopped, answers: make(map[string]*answer)}
	orders.start("aa", waitingSlots)
	time.Sleep(500 * time.Millisecond)
	orders.start("bb", waitingBehind)
	time.Sleep(termDelay)
	if w.trouble {
		w.note("SIGTERM to %s", stopped.name)
		if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		time.AfterFunc(gracePeriod, func() { _ = stopped.command.Process.Kill() })
	}
	orders.wg.Wait()
	lost := 0
	for id, a := range orders.answers {
		if a.status != 0 && a.complete {
			continue
		}
		if !w.trouble {
			return false, fmt.Errorf("without the disruption: %s", a)
		}
		if strings.HasPrefix(id, "bb") && a.took < waitingTimeout && replica.runs(id) == 0 {
			lost++
			w.note("LOST: request %s was read, no replica ran it, and its connection ended without an answer", id)
		}
	}
	w.note("sum: %d of %d requests that waited ended without an answer", lost, waitingBehind)
	return lost > 0, nil
}
