package main

import (
	"net"
	"net/http"
	"sync"
)

// plainReplica is a replica of a plain service. Its handler answers each request; the replica itself records which ran.
type plainReplica struct {
	id      string
	address string
	server  *http.Server

	mu  sync.Mutex
	ran map[string]int // how often each request began to run, by id
}

// startReplica serves a replica on a free port.
func (w *world) startReplica(id string, handle func(p *plainReplica, rw http.ResponseWriter, r *http.Request)) (
	*plainReplica, error,
) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &plainReplica{id: id, address: l.Addr().String(), ran: make(map[string]int)}
	p.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
			rw.Header().Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handle(p, rw, r)
	})}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// begin records that a request begins to run.
func (p *plainReplica) begin(w *world, r *http.Request) string {
	id := r.Header.Get("Request-Id")
	p.mu.Lock()
	p.ran[id]++
	p.mu.Unlock()
	w.note("replica %s: request %s begins to run", p.id, id)
	return id
}

// runs returns how often a request began to run.
func (p *plainReplica) runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[id]
}

// succeed answers a request with a signed success.
func succeed(rw http.ResponseWriter, id, body string) {
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Response-Signature", "sig."+id)
	_, _ = rw.Write([]byte(body))
}
