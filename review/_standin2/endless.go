package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["6"] = endlessHeads }

const (
	headBytes    = 1_040_000 // that are sent at once
	dripInterval = 100 * time.Millisecond
	symbols      = "0123456789abcdefghijklmnopqrstuvwxyz!#$%&'*+-.^_`|~"
)

// field returns a short header field without a value; no two are alike.
func field(n int) string {
	k := len(symbols)
	return string([]byte{symbols[n%k], symbols[n/k%k], symbols[n/k/k%k], ':', '\n'})
}

// endlessHead sends the head of an answer without end, until the caller closes: the first part at once, the rest slowly.
func endlessHead(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := []byte("HTTP/1.1 200 OK\r\n")
	n := 0
	for ; len(text) < headBytes; n++ {
		text = append(text, field(n)...)
	}
	for {
		if _, err := conn.Write(text); err != nil {
			return
		}
		time.Sleep(dripInterval)
		n++
		text = append(text[:0], field(n)...)
	}
}

// Figures of the case.
const (
	endlessHosts   = 2
	badModels      = 2   // of four: half of the replicas of one service
	clients        = 100 // each sends one request a second; the sheet has 41 a second, and bursts of 2.5 times that
	endlessSeconds = 55
	maxLost        = 3 // requests that the rule LOST lets pass
)

// endlessHeads lets two of four model replicas answer with heads without end.
func endlessHeads(w *world, trouble bool) []string {
	l := &ledger{}
	models := w.addServers(modelService, 4, l)
	w.addServers(plainService, 3, l)
	w.configure(baseConfiguration())
	w.addHosts(endlessHosts)
	w.awaitReady()
	time.Sleep(2 * time.Second)
	if trouble {
		for _, s := range models[:badModels] {
			w.record.line("trouble at %s: it answers requests with a head without end", s.id)
			s.trouble.Store(func(rw http.ResponseWriter, r *http.Request) bool {
				if r.URL.Path == "/health" || r.URL.Path == "/report" || r.URL.Path == "/order" {
					return false
				}
				w.record.line("endless %s  at %s", r.Header.Get("Request-Id"), s.id)
				endlessHead(rw)
				return true
			})
		}
	}
	var seen answers
	var group sync.WaitGroup
	var ids atomic.Int64
	end := time.Now().Add(endlessSeconds * time.Second)
	for k := range clients {
		group.Go(func() {
			c := &client{record: w.record, host: w.hosts[k%len(w.hosts)]}
			defer c.close()
			time.Sleep(time.Duration(k) * time.Second / clients)
			for time.Now().Before(end) {
				next := time.Now().Add(time.Second)
				seen.add(c.do(endlessRequest(k, fmt.Sprintf("q%05d", ids.Add(1)))))
				time.Sleep(time.Until(next))
			}
		})
	}
	group.Wait()
	var broken []string
	for _, h := range w.hosts {
		w.record.line("host %s  resident memory at most %d MB, limit %d MB, killed for it %d times", h.name, h.maxRSS>>20, memoryMB, h.kills)
	}
	var lost []*answer
	for _, a := range seen.all {
		if a.kept && !a.complete && l.count(a.id) > 0 {
			lost = append(lost, a)
		}
	}
	for _, a := range lost {
		w.record.line("lost    %s", a)
	}
	if len(lost) > maxLost {
		broken = append(broken, fmt.Sprintf("LOST: %d requests from kept connections were passed on to sound replicas and have no complete answer", len(lost)))
	}
	return broken
}

// endlessRequest returns the next request of client k, in the shares of the sheet: one in seven goes to the order desk.
func endlessRequest(k int, id string) request {
	switch k % 14 {
	case 5:
		return request{id: id, method: http.MethodPost, path: "/orders/" + id, timeoutMS: 4000, body: "two moulds"}
	case 12:
		return request{id: id, method: http.MethodGet, path: "/lookups/" + id, timeoutMS: 4000}
	default:
		return request{
			id: id, method: http.MethodPost, path: "/quick/" + id, timeoutMS: 10000, tokens: "5000,600", parts: "aa:40," + id + ":4960",
			body: "what does a core pin cost",
		}
	}
}
