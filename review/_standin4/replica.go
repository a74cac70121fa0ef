package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond // heartbeatMs
	silence   = 3 * heartbeat           // after which an entry is removed
	slots     = 16
	memory    = 315000 // tokens of a model replica
	events    = 8      // of a stream
)

// replica is a stand-in of a replica: a model replica if model is set, and one of a plain service otherwise.
type replica struct {
	world   *world
	id      string
	service string
	address string
	model   bool
	born    int64

	server *http.Server
	ended  chan struct{} // closed when the replica has crashed

	mu       sync.Mutex
	sequence int
	tickets  map[string]int // reserved tokens by ticket
	lastBeat time.Time
	limit    float64   // requests a second that it takes, which it names; 0 for no limit
	arrivals []arrival // of requests while it names a limit
}

// startReplica starts a replica at an address, or at a free one if that is empty, and registers it.
func (w *world) startReplica(id, service, address string, model bool) (*replica, error) {
	if address == "" {
		address = freeAddress()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{
		world: w, id: id, service: service, address: l.Addr().String(), model: model, born: time.Now().UnixMilli(),
		ended: make(chan struct{}), tickets: make(map[string]int),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	w.mu.Lock()
	w.replicas[r.address] = r
	w.mu.Unlock()
	go r.beat()
	w.record("replica %s of %s starts at %s", r.id, r.service, r.address)
	return r, nil
}

// beat writes the replica's entry until the replica ends, and removes it once it has been silent for long.
func (r *replica) beat() {
	for {
		r.mu.Lock()
		r.sequence++
		entry := map[string]any{
			"service": r.service, "address": r.address, "zone": "a", "version": "1", "slots": slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
		}
		r.lastBeat = time.Now()
		r.mu.Unlock()
		r.world.store.put("servers/"+r.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-r.ended:
			r.mu.Lock()
			left := time.Until(r.lastBeat.Add(silence))
			r.mu.Unlock()
			time.Sleep(left)
			r.world.store.remove("servers/" + r.id)
			r.world.record("the entry of %s is removed", r.id)
			return
		}
	}
}

// crash ends the replica right after it has written its entry, without notice. Its connections are reset.
func (r *replica) crash() {
	for {
		r.mu.Lock()
		since := time.Since(r.lastBeat)
		r.mu.Unlock()
		if since < heartbeat/4 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.world.mu.Lock()
	delete(r.world.replicas, r.address)
	r.world.mu.Unlock()
	close(r.ended)
	_ = r.server.Close()
	r.world.record("replica %s of %s crashes and doesn't come back", r.id, r.service)
}

// ServeHTTP serves orders and requests.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	id := req.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != r.id {
		r.world.record("%s (%s) answers 421 to %s %s, which names %s", r.id, r.service, req.Method, req.URL.Path, expected)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.Method == http.MethodPost && req.URL.Path == "/order" && r.model:
		r.serveOrder(w, req, body)
	case req.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.id)
	case req.URL.Path == "/report" && r.model:
		reply(w, http.StatusOK, map[string]any{"stage": "both", "busy": false, "kvTotal": memory, "born": r.born})
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case r.model:
		r.serveStream(w, req, id)
	default:
		r.nameLimit(w, id)
		r.servePlain(w, req, id)
	}
}

// serveOrder reserves or releases memory.
func (r *replica) serveOrder(w http.ResponseWriter, req *http.Request, body []byte) {
	var order struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
	}
	if json.Unmarshal(body, &order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case order.Operation == "release":
		delete(r.tickets, order.ID)
	case order.Operation != "reserve" || order.Tokens > memory:
		w.WriteHeader(http.StatusBadRequest)
		return
	case order.Tokens > r.free()+r.tickets[order.ID]:
		w.WriteHeader(http.StatusConflict)
		return
	default:
		if _, renewed := r.tickets[order.ID]; !renewed {
			r.world.record("%s (%s) accepts an order that sets %d tokens aside for ticket %s; Expected-Instance: %q",
				r.id, r.service, order.Tokens, order.ID, req.Header.Get("Expected-Instance"))
		}
		r.tickets[order.ID] = order.Tokens
	}
	reply(w, http.StatusOK, map[string]int{"free": r.free()})
}

// free returns the tokens that no ticket holds.
func (r *replica) free() int {
	free := memory
	for _, tokens := range r.tickets {
		free -= tokens
	}
	return free
}

// notRun answers 503 and that the request was not run.
func notRun(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveStream reads a prompt with its helpers and writes the events of the answer.
func (r *replica) serveStream(w http.ResponseWriter, req *http.Request, id string) {
	prompt, _, _ := strings.Cut(req.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	var helpers []*replica
	if list := req.Header.Get("Helpers"); list != "" {
		for _, entry := range strings.Split(list, ",") {
			address, ticket, _ := strings.Cut(entry, "/")
			h := r.world.at(address)
			if h == nil || !h.model || !h.holds(ticket) {
				w.Header().Set("At-Server", address)
				notRun(w)
				return
			}
			helpers = append(helpers, h)
		}
	}
	r.world.recordRun(r, id, req, false)
	for _, h := range helpers {
		h.world.recordRun(h, id, req, true)
	}
	time.Sleep(time.Duration(float64(tokens)/readPerS*float64(time.Second)) / time.Duration(len(helpers)+1))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", r.id+"."+id)
	for n := 1; n <= events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// holds reports whether the replica holds a ticket, or none is asked for.
func (r *replica) holds(ticket string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.tickets[ticket]
	return ticket == "" || ok
}

// servePlain runs a request of a plain service.
func (r *replica) servePlain(w http.ResponseWriter, req *http.Request, id string) {
	r.world.recordRun(r, id, req, false)
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Response-Signature", r.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s\n", id)
}
