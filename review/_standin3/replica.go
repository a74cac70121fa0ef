package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// heartbeatInterval is how often a replica writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// replica is a replica of a plain service.
type replica struct {
	world   *world
	id      string
	service string
	address netip.AddrPort
	server  *http.Server
	born    int64
	leaving atomic.Bool
	// onRequest, if not nil, is called for each request that reaches the replica.
	onRequest func(id string, at time.Time)
}

// newReplica starts a replica and writes its entry until it leaves.
func (w *world) newReplica(id, zone string, onRequest func(id string, at time.Time)) (*replica, error) {
	r := &replica{world: w, id: id, service: "order-desk", born: time.Now().UnixMilli(), onRequest: onRequest}
	address, err := w.serve(r)
	if err != nil {
		return nil, err
	}
	r.address = address
	r.server = w.servers[len(w.servers)-1]
	r.register(zone)
	return r, nil
}

// register writes the entry at intervals until the replica leaves.
func (r *replica) register(zone string) {
	r.beat(zone, 1)
	go func() {
		for sequence := 2; !r.leaving.Load(); sequence++ {
			time.Sleep(heartbeatInterval)
			if !r.leaving.Load() {
				r.beat(zone, sequence)
			}
		}
	}()
}

// crash ends the replica at once. Its entry stays for three heartbeat intervals, unless it is written again before.
func (r *replica) crash() {
	r.leaving.Store(true)
	_ = r.server.Close()
}

// startAgain starts the replica anew under its id and at its address, as one of another service.
func (r *replica) startAgain(service, zone string) error {
	l, err := net.Listen("tcp", r.address.String())
	if err != nil {
		return err
	}
	r.service, r.born = service, time.Now().UnixMilli()
	r.server = &http.Server{Handler: r}
	r.world.servers = append(r.world.servers, r.server)
	go func() { _ = r.server.Serve(l) }()
	r.leaving.Store(false)
	r.register(zone)
	return nil
}

func (r *replica) key() string { return "servers/" + r.id }

func (r *replica) beat(zone string, sequence int) {
	r.world.store.Put(r.key(), fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","coldRemainingMs":0,`+
			`"sequence":%d,"born":%d}`, r.service, r.address.String(), zone, sequence, r.born))
}

// leave removes the entry without a report of draining, and returns when the store has acknowledged that. The replica serves on.
func (r *replica) leave() time.Time {
	r.leaving.Store(true)
	r.world.store.Remove(r.key())
	return time.Now()
}

// ServeHTTP runs a request in 20 ms.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	at := time.Now()
	_, _ = io.Copy(io.Discard, req.Body)
	if r.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if req.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.onRequest != nil {
		r.onRequest(id, at)
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Response-Signature", "signed."+id)
	_, _ = w.Write(make([]byte, 800))
}
