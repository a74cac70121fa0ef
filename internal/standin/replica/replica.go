package replica

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is an HTTP handler that acts as one backend server. Its exported fields except Fault must be set before use;
// Clock and EngineNames only for a model replica, ServiceTime only for a plain service.
type Replica struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	Clock         *Clock                           // runs the requests of a model replica; nil for a plain service
	EngineNames   func() map[netip.AddrPort]string // returns the engine names by address; resolves the Helpers header
	// HelperAt returns the replica at an address, nil if there is none, so that the helpers of a request are checked and their
	// parts of the prompt logged. If it is nil, any helper is assumed to read its part.
	HelperAt     func(netip.AddrPort) *Replica
	ServiceTime  time.Duration // time that a plain service takes for a request
	Log          *RequestLog
	Silence      time.Duration // duration of FaultSilentStart and FaultSilentMiddle; 0 for DefaultSilence
	EndlessPiece int           // bytes of a response without end that are sent at a time; 0 for DefaultEndlessPiece
	// Fault is called for each request and returns its fault. If it is nil, no request meets a fault.
	Fault func(r *http.Request) Fault
	// CrashesOn reports whether the replica crashes when it begins to respond to a request with the given part, not the
	// last, in its prompt. If it is nil, the replica never crashes. Model replicas only.
	CrashesOn func(part string) bool
	Downtime  time.Duration // from a crash until the replica is back; 0 for DefaultDowntime
	OnCrash   func()        // if not nil, called after the replica has crashed
	OnReturn  func()        // if not nil, called when the replica is back as a new incarnation

	leaving      atomic.Bool
	limit        atomic.Value // string: see NameLimit
	starts       atomic.Int64 // calls of Restart
	misdirected  atomic.Int64 // memory commands that named another replica
	mu           sync.Mutex
	reservations map[string]reservation // by ID
	commands     []Command              // that were accepted
	server       *http.Server           // nil unless Listen was called, as are connections and listener
	connections  map[net.Conn]bool      // that are open
	listener     net.Listener
	down         bool // the replica has crashed and isn't back
	closed       bool // Close was called

	endlessBytes atomic.Int64 // see EndlessBytes
}

// Entry returns the JSON entry with which the replica registers itself in the metadata store, with the given state.
func (p *Replica) Entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":1,"born":%d}`,
		p.Service, p.Address.String(), p.FailureDomain, p.Slots, state, firstBorn+p.starts.Load())
}

// headerLimit is the header in which a replica names its limit.
const headerLimit = "Server-Limit"

// firstBorn is the start time of a replica that was not restarted, in Unix milliseconds.
const firstBorn = 1700000000000

// Restart makes the replica a new incarnation, which doesn't leave and names no limit. It doesn't interrupt its requests.
func (p *Replica) Restart() {
	p.starts.Add(1)
	p.leaving.Store(false)
	p.limit.Store("")
}

// SetLeaving sets whether the replica announces in all its responses that it leaves. It serves on meanwhile.
func (p *Replica) SetLeaving(leaving bool) { p.leaving.Store(leaving) }

// NameLimit sets the limit, in requests a second, that the replica names in all its responses; it names none if perSecond
// is empty. It doesn't enforce the limit.
func (p *Replica) NameLimit(perSecond string) { p.limit.Store(perSecond) }

// ServeHTTP serves health checks on /health, memory commands on /order and requests that entry hosts forward on all
// other paths.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit, _ := p.limit.Load().(string); limit != "" {
		w.Header().Set(headerLimit, limit)
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", p.ID)
		w.WriteHeader(http.StatusOK)
	case "/order":
		p.serveMemoryCommand(w, r)
	default:
		p.serveRequest(w, r)
	}
}

// serveRequest records a request in the log and runs it. It does not run the request if a fault refuses it, or if the
// Expected-Instance header names another replica: then it responds with status 421. It reads the whole body first; a
// request whose body ends early is not recorded.
func (p *Replica) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	fault := FaultNone
	if p.Fault != nil {
		fault = p.Fault(r)
	}
	misdirected := p.isMisdirected(r)
	faultyHelper, hasFaultyHelper := p.faultyHelper(r)
	refused := fault == FaultRefuse || fault == FaultAskPause || misdirected || hasFaultyHelper
	p.Log.add(id, ReceivedRequest{
		ReplicaID: p.ID, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body),
		LastEventID: r.Header.Get("Last-Event-Id"), Ran: !refused, At: time.Now(),
	})
	defer p.Log.end(id)
	w.Header().Set("Request-Id", id)
	switch {
	case misdirected:
		p.refusesMisdirected(w, r)
	case refused:
		if hasFaultyHelper {
			w.Header().Set("At-Server", faultyHelper)
		}
		w.Header().Set("Not-Executed", "1")
		if fault == FaultAskPause {
			w.Header().Set("Retry-After", strconv.FormatFloat(AskedPause.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == FaultNoResponse:
		panic(http.ErrAbortHandler)
	case fault == FaultSilent:
		<-r.Context().Done()
	case fault >= FaultEndlessLine && fault <= FaultEndlessBody:
		p.serveEndless(w, r, id, fault)
	case p.Clock != nil:
		p.serveStream(w, r, id, fault)
	default:
		p.servePlain(w, r, id, string(body), fault)
	}
}

// isMisdirected reports whether a request names another replica in its Expected-Instance header.
func (p *Replica) isMisdirected(r *http.Request) bool {
	expected := r.Header.Get("Expected-Instance")
	return expected != "" && expected != p.ID
}

// refusesMisdirected responds with status 421 to a request that names another replica, and reports whether it has.
func (p *Replica) refusesMisdirected(w http.ResponseWriter, r *http.Request) bool {
	if !p.isMisdirected(r) {
		return false
	}
	w.Header().Set("Instance-Id", p.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// Signature returns the value of the Response-Signature header in responses to the request with the given ID.
func Signature(id string) string { return "signed." + id }
