package replica

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

// Fault is how a replica treats a request.
type Fault int

// The faults.
const (
	FaultNone   Fault = iota
	FaultRefuse       // says that it did not run the request
	FaultError        // runs it and answers 500
	FaultBreak        // runs it and breaks off in the middle of the answer, or of its third event
	FaultLose         // runs it and closes the connection without an answer
	FaultSilent       // runs it and sends nothing
	FaultExtra        // sends a second answer after its own
	FaultPause        // sends nothing for a while after its third event
)

// Seen is what a replica noted of a request that reached it.
type Seen struct {
	Replica   string
	Method    string
	Target    string
	Header    http.Header
	Body      string
	LastEvent string
	Ran       bool
}

// PauseTime is how long FaultPause sends nothing.
const PauseTime = 2500 * time.Millisecond

// Log collects what all replicas of a test have seen.
type Log struct {
	mu   sync.Mutex
	seen map[string][]Seen // by request id
}

func (l *Log) add(id string, s Seen) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = make(map[string][]Seen)
	}
	l.seen[id] = append(l.seen[id], s)
}

// Of returns what the request with the given id met, in order.
func (l *Log) Of(id string) []Seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Seen(nil), l.seen[id]...)
}

// Runs returns how often the request with the given id was run.
func (l *Log) Runs(id string) int {
	runs := 0
	for _, s := range l.Of(id) {
		if s.Ran {
			runs++
		}
	}
	return runs
}

// Replica is one backend server. Its exported fields must be set before use.
type Replica struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	Slots   int
	Clock   *Clock                           // of a model replica; nil for a plain service
	Names   func() map[netip.AddrPort]string // of the engines by address, for helpers
	Work    time.Duration                    // of a plain service for a request
	Log     *Log
	// Fault is asked for each request; nil means that nothing goes wrong.
	Fault func(r *http.Request) Fault

	mu      sync.Mutex
	tickets map[string]ticket
}

// ticket is memory that is set aside until its lease ends.
type ticket struct {
	tokens int
	end    time.Time
}

// Entry returns what the replica writes into the store in the given state.
func (p *Replica) Entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":1,"born":1700000000000}`,
		p.Service, p.Address.String(), p.Domain, p.Slots, state)
}

// ServeHTTP serves one request, order, report or health check.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", p.ID)
		w.WriteHeader(http.StatusOK)
	case "/order":
		p.order(w, r)
	default:
		p.request(w, r)
	}
}

type memoryOrder struct {
	Operation string `json:"operation"`
	ID        string `json:"id"`
	Tokens    int    `json:"tokens"`
	HoldMS    int64  `json:"holdMs"`
}

func (p *Replica) order(w http.ResponseWriter, r *http.Request) {
	var o memoryOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tickets == nil {
		p.tickets = make(map[string]ticket)
	}
	if o.Operation == "release" {
		delete(p.tickets, o.ID)
	} else {
		p.tickets[o.ID] = ticket{tokens: o.Tokens, end: time.Now().Add(time.Duration(o.HoldMS) * time.Millisecond)}
	}
	w.WriteHeader(http.StatusOK)
}

// Reserved returns the tokens of memory that are set aside.
func (p *Replica) Reserved() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, t := range p.tickets {
		if time.Now().Before(t.end) {
			sum += t.tokens
		}
	}
	return sum
}

func (p *Replica) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	fault := FaultNone
	if p.Fault != nil {
		fault = p.Fault(r)
	}
	expected := r.Header.Get("Expected-Instance")
	refused := fault == FaultRefuse || expected != "" && expected != p.ID
	p.Log.add(id, Seen{
		Replica: p.ID, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body),
		LastEvent: r.Header.Get("Last-Event-Id"), Ran: !refused,
	})
	w.Header().Set("Request-Id", id)
	switch {
	case expected != "" && expected != p.ID:
		w.Header().Set("Instance-Id", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case refused:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == FaultLose:
		panic(http.ErrAbortHandler)
	case fault == FaultSilent:
		<-r.Context().Done()
	case p.Clock != nil:
		p.stream(w, r, id, fault)
	default:
		p.plain(w, r, id, string(body), fault)
	}
}

// Signature is what replicas sign their answers with.
func Signature(id string) string { return "signed." + id }

// Answer is what a plain service answers to a request.
func Answer(target, body string) string { return "answer to " + target + " " + body }

func (p *Replica) plain(w http.ResponseWriter, r *http.Request, id, body string, fault Fault) {
	select {
	case <-time.After(p.Work):
	case <-r.Context().Done():
		return
	}
	text := Answer(r.RequestURI, body)
	w.Header().Set("Response-Signature", Signature(id))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch fault {
	case FaultError:
		text = "failed"
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(http.StatusInternalServerError)
	case FaultBreak:
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case FaultExtra:
		p.extra(w, id, text)
		return
	default:
	}
	_, _ = io.WriteString(w, text)
}

// extra answers twice on the connection.
func (p *Replica) extra(w http.ResponseWriter, id, text string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, Signature(id), len(text), text)
	_, _ = buffered.WriteString(one + one)
	_ = buffered.Flush()
	time.Sleep(200 * time.Millisecond)
}

// Events returns the number of events that a request with the given id gets.
func Events(id string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return 8 + int(h.Sum32()%8)
}

// Event returns the event with the given number of a request's stream.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, id, number)
}

func (p *Replica) stream(w http.ResponseWriter, r *http.Request, id string, fault Fault) {
	tokens, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ := strconv.Atoi(tokens)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := passes.Request{ID: id + "@" + p.ID, Primary: p.ID, Tokens: max(prompt, 1), Events: Events(id) - last}
	for _, helper := range strings.Split(r.Header.Get("Helpers"), ",") {
		address, _, _ := strings.Cut(helper, "/")
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			run.Helpers = append(run.Helpers, p.Names()[parsed])
		}
	}
	if run.Events <= 0 {
		w.Header().Set("Response-Signature", Signature(id))
		w.WriteHeader(http.StatusOK)
		return
	}
	events := p.Clock.submit(run)
	defer p.Clock.cancel(run.ID)
	w.Header().Set("Response-Signature", Signature(id))
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		select {
		case e := <-events:
			text := Event(id, last+e.Number)
			if fault == FaultPause && e.Number == 4 {
				time.Sleep(PauseTime)
			}
			if fault == FaultBreak && e.Number == 3 {
				_, _ = io.WriteString(w, text[:len(text)/2])
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
			if e.Last {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
