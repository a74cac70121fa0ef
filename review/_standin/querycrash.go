package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// The case query-crash: a request that crashes replicas comes again with the same path, caller and body, and another query.
const (
	queryReplicas      = 6
	querySlots         = 6
	queryLength        = 40 * time.Second
	queryBody          = "tool 17: confirm"
	queryCrashesBefore = 3 // crashes after which the request may still come for stableWindow
)

// crashingService is a replica of a plain service that crashes when it begins to run the bad request.
type crashingService struct {
	w    *world
	id   string
	bad  *badArrivals
	mu   sync.Mutex
	open map[net.Conn]bool

	listener net.Listener
	address  string
	down     bool
}

// startCrashingService starts a replica on a free port, which crashes if crashes is set.
func (w *world) startCrashingService(id string, crashes bool, bad *badArrivals) error {
	s := &crashingService{w: w, id: id, bad: bad, open: make(map[net.Conn]bool)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.serve(l, crashes)
	return nil
}

// serve serves an incarnation of the replica and registers it.
func (s *crashingService) serve(l net.Listener, crashes bool) {
	s.mu.Lock()
	s.listener, s.down = l, false
	s.mu.Unlock()
	server := &http.Server{
		Handler:   http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.run(rw, r, crashes) }),
		ConnState: s.track,
	}
	go func() { _ = server.Serve(l) }()
	s.w.putJSON("servers/"+s.id, entry("order-desk", s.address, querySlots, time.Now()))
}

// track keeps the open connections, which a crash resets.
func (s *crashingService) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[c] = true
	case http.StateClosed:
		delete(s.open, c)
	}
}

// run runs a request.
func (s *crashingService) run(rw http.ResponseWriter, r *http.Request, crashes bool) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path != "/order/bad" {
		time.Sleep(60 * time.Millisecond)
		succeed(rw, id, "done")
		return
	}
	s.bad.mu.Lock()
	s.bad.arrivals = append(s.bad.arrivals, time.Now())
	s.bad.mu.Unlock()
	s.w.note("replica %s: request %s, %s, begins to run", s.id, id, r.RequestURI)
	if !crashes {
		succeed(rw, id, "done")
		return
	}
	s.crash()
}

// crash ends the incarnation, and starts the next one after replicaDowntime.
func (s *crashingService) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.bad.mu.Lock()
	s.bad.crashes = append(s.bad.crashes, time.Now())
	n := len(s.bad.crashes)
	s.bad.mu.Unlock()
	s.w.note("replica %s: crash %d", s.id, n)
	_ = s.listener.Close()
	for c := range s.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(replicaDowntime, func() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			s.w.note("replica %s: %v", s.id, err)
			return
		}
		s.serve(l, true)
	})
}

func queryCrash(w *world) (bool, error) {
	bad := &badArrivals{}
	for i := range queryReplicas {
		if err := w.startCrashingService(fmt.Sprintf("i-%d", i+1), w.trouble, bad); err != nil {
			return false, err
		}
	}
	w.putJSON("op/config", configuration(1, route("order", "/order/", "unsafe", "order-desk", 4000, 1)))
	if err := w.addHosts(3); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var sent sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	order := func(id, kind, path, body string, h *host) {
		sent.Go(func() {
			a := send(h.front, &request{method: http.MethodPost, path: path, id: id, timeout: 4 * time.Second, body: []byte(body)})
			w.note("client: %s request %s to %s: %s", kind, id, h.name, a)
			mu.Lock()
			defer mu.Unlock()
			results[fmt.Sprintf("%s status %d", kind, a.status)]++
		})
	}
	began := time.Now()
	next := began.Add(2 * time.Second)
	for i := 0; time.Since(began) < queryLength; i++ {
		id := fmt.Sprintf("%06x", i)
		order("50"+id, "sound", "/order/"+id, id, w.hosts[i%len(w.hosts)])
		if time.Now().After(next) {
			next = next.Add(badInterval)
			path := "/order/bad"
			if os.Getenv("QUERY") != "0" {
				path += "?try=" + id
			}
			order("bb"+id, "bad", path, queryBody, w.hosts[(i/7)%len(w.hosts)])
		}
		time.Sleep(stableWindow / 30)
	}
	sent.Wait()
	late := bad.lateAfter(queryCrashesBefore, stableWindow)
	w.note("sum: %d crashes, %d bad requests later than %v after the third (%d allowed); clients: %v", bad.count(), late,
		stableWindow, allowedRequests, results)
	if !w.trouble && (bad.count() > 0 || results["sound status 200"] == 0) {
		return false, fmt.Errorf("without the disruption: %v", results)
	}
	return late > allowedRequests, nil
}
