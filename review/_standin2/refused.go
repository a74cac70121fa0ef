package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = refusedRuns }

const (
	orderClients = 14
	ordersEach   = 40
	greyDesks    = 1   // of seven: a share of 0.14
	greyShare    = 0.4 // of its requests
	greyStatus   = http.StatusServiceUnavailable
)

// refusedRuns lets one of seven replicas of the order desk fail two in five of its orders after it has run them.
func refusedRuns(w *world, trouble bool) []string {
	l := &ledger{}
	w.addServers(modelService, 2, l)
	desks := w.addServers(plainService, 7, l)
	w.configure(baseConfiguration())
	w.addHosts(2)
	w.awaitReady()
	if trouble {
		for _, s := range desks[:greyDesks] {
			var n atomic.Int64
			w.record.line("trouble at %s: it fails orders after it has run them", s.id)
			s.trouble.Store(func(rw http.ResponseWriter, r *http.Request) bool {
				if r.Method != http.MethodPost || r.URL.Path == "/order" || r.Header.Get("Expected-Instance") != s.id {
					return false
				}
				if k := float64(n.Add(1)); int(k*greyShare) == int((k-1)*greyShare) {
					return false
				}
				s.failAfterRun(rw, r)
				return true
			})
		}
	}
	var seen answers
	var group sync.WaitGroup
	for k := range orderClients {
		group.Go(func() {
			c := &client{record: w.record, host: w.hosts[k%len(w.hosts)]}
			defer c.close()
			for i := range ordersEach {
				id := fmt.Sprintf("o%d-%02d", k, i+1)
				seen.add(c.do(request{id: id, method: http.MethodPost, path: "/orders/" + id, timeoutMS: 4000, body: "two moulds"}))
			}
		})
	}
	group.Wait()
	var broken []string
	for _, a := range seen.all {
		if runs := l.count(a.id); a.status == greyStatus && runs > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: order %s got status %d and has run %d times", a.id, a.status, runs))
		}
	}
	return broken
}

// failAfterRun runs a request and answers with a failure of its own, which doesn't say that the request has not run.
func (s *server) failAfterRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.ledger.begin(id, s.id)
	s.record.line("run     %s  at %s, which fails after it", id, s.id)
	time.Sleep(plainWork)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", signature(id))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(greyStatus)
}
