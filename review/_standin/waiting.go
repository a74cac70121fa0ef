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

// waitingAtStop stops a host with SIGTERM while requests that it has read wait for a free slot of a replica.
func waitingAtStop(w *world) (bool, error) {
	slots := make(chan bool, waitingSlots)
	replica, err := w.startReplica("i-1", func(p *plainReplica, rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Request-Id")
		select {
		case slots <- true:
		default:
			w.note("replica %s: request %s queues", p.id, id)
			select {
			case slots <- true:
			case <-r.Context().Done():
				w.note("replica %s: request %s dropped from the queue, its connection was closed", p.id, id)
				return
			}
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
	})
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
	var wg sync.WaitGroup
	answers := make(map[string]*answer)
	var mu sync.Mutex
	order := func(id string, h *host) {
		defer wg.Done()
		r := &request{
			method: http.MethodPost, path: "/orders/" + id, id: id, timeout: waitingTimeout, body: []byte("two moulds"),
		}
		w.note("client: request %s to %s, which it gives %v", id, h.name, waitingTimeout)
		a := send(h.front, r)
		w.note("client: request %s: %s", id, a)
		mu.Lock()
		answers[id] = a
		mu.Unlock()
	}
	for i := range waitingSlots {
		wg.Add(1)
		go order(fmt.Sprintf("aa%06x", i), stopped)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range waitingBehind {
		wg.Add(1)
		go order(fmt.Sprintf("bb%06x", i), stopped)
	}
	time.Sleep(termDelay)
	if w.trouble {
		w.note("SIGTERM to %s", stopped.name)
		if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		time.AfterFunc(gracePeriod, func() { _ = stopped.command.Process.Kill() })
	}
	wg.Wait()
	lost := 0
	for i := range waitingBehind {
		id := fmt.Sprintf("bb%06x", i)
		a := answers[id]
		if a.status != 0 && a.complete {
			continue
		}
		if !w.trouble {
			return false, fmt.Errorf("without the disruption: %s", a)
		}
		if a.took < waitingTimeout && replica.runs(id) == 0 {
			lost++
			w.note("LOST: request %s was read, never passed on, and its connection ended without an answer", id)
		}
	}
	w.note("sum: %d of %d requests that waited ended without an answer", lost, waitingBehind)
	return lost > 0, nil
}
