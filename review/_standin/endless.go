package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case endless: half of the replicas of a plain service answer with bytes without end for a while.
const (
	endlessReplicas = 12
	endlessSlots    = 24
	endlessWork     = 4 * time.Second // of a sound replica on one order
	endlessTimeout  = 15 * time.Second
	endlessInterval = 75 * time.Millisecond // between two orders at one host
	endlessBegin    = 8 * time.Second
	endlessTrouble  = 20 * time.Second
	endlessLength   = 36 * time.Second // until the last order is sent
	endlessPiece    = 50 << 10         // bytes that a replica in trouble sends at once
	endlessPause    = 50 * time.Millisecond
	endlessBody     = 600 // bytes of an order
)

// runUntilClosed answers with bytes without end until the caller closes the connection.
func runUntilClosed(rw http.ResponseWriter, id string) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nConnection: close\r\n\r\n", id)
	piece := make([]byte, endlessPiece)
	for i := range piece {
		piece[i] = 'x'
	}
	for {
		if _, err := c.Write(piece); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// startEndlessReplicas starts the replicas, of which every second one is in trouble while inTrouble says so.
func (w *world) startEndlessReplicas(inTrouble func() bool) ([]*plainReplica, error) {
	var replicas []*plainReplica
	for i := range endlessReplicas {
		p, err := w.startReplica(fmt.Sprintf("i-%d", i+1), func(p *plainReplica, rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Request-Id")
			if i%2 == 0 && r.URL.Path == largePath && inTrouble() {
				w.note("replica %s: request %s gets bytes without end", p.id, id)
				runUntilClosed(rw, id)
				return
			}
			if r.URL.Path == largePath {
				p.begin(w, r)
				time.Sleep(endlessWork)
			}
			succeed(rw, id, "done")
		})
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, p)
		w.putJSON("servers/"+p.id, entry("order-desk", p.address, endlessSlots, w.began))
	}
	return replicas, nil
}

func endless(w *world) (bool, error) {
	var from atomic.Int64 // when the trouble begins, since w.began; 0 before that is known
	inTrouble := func() bool {
		since := time.Since(w.began) - time.Duration(from.Load())
		return w.trouble && from.Load() > 0 && since > 0 && since < endlessTrouble
	}
	replicas, err := w.startEndlessReplicas(inTrouble)
	if err != nil {
		return false, err
	}
	if err := w.addHosts(3); err != nil {
		return false, err
	}
	w.putJSON("op/config", configuration(1, route("order", "/order/", "unsafe", "order-desk", int(endlessTimeout.Milliseconds()), 1)))
	if err := w.startAll(); err != nil {
		return false, err
	}
	watch := w.watchMemory()
	begin := time.Now()
	from.Store(int64(begin.Add(endlessBegin).Sub(w.began)))
	var orders []*largeOrder
	var sent sync.WaitGroup
	tick := &ticker{next: begin, interval: endlessInterval / 3}
	for n := 0; time.Since(begin) < endlessLength; time.Sleep(time.Millisecond) {
		if !tick.due() {
			continue
		}
		o := &largeOrder{id: fmt.Sprintf("order-%d", n), host: w.hosts[n%len(w.hosts)]}
		n++
		orders = append(orders, o)
		sent.Go(func() { w.sendLargeOrder(o, endlessBody) })
	}
	sent.Wait()
	watch.end()
	return w.judgeLargeOrders(orders, replicas, watch), nil
}
