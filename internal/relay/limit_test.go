package relay_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/budget"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/dialer"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// unawarePlanner always places requests at the first replica that they don't exclude, whatever replicas have said.
type unawarePlanner struct {
	replicas []replica.Replica
	helpers  []planner.Helper // of each plan
	held     chan struct{}    // if not nil, the next plan is handed over once it is closed
	panics   bool             // Place panics for requests that exclude a replica
	// The only replica whose plans have helpers; empty for all.
	helpersOf string

	mu      sync.Mutex
	limited map[string]bool // replicas that have named a limit to the host
	leaving map[string]bool // replicas that have told the host that they leave
	stated  []float64       // limits that were reported; -1 for none
	// Replicas in an evacuated failure domain, as the host knows.
	evacuated map[string]bool
	ended     []planner.Outcome
	excluded  [][]string // replicas that the placement requests have excluded
	// Replicas at whose addresses another server has responded, in order.
	misdirected []string
	cold        []string   // replicas that were reported as cold, with the time
	regions     [][]string // allowed regions of the placement requests
}

func (p *unawarePlanner) Place(_ context.Context, req planner.Request) (planner.Result, error) {
	p.mu.Lock()
	held := p.held
	p.held = nil
	p.regions = append(p.regions, req.AllowedRegions)
	p.excluded = append(p.excluded, req.ExcludedReplicas)
	p.mu.Unlock()
	if p.panics && len(req.ExcludedReplicas) > 0 {
		panic("placement of " + req.ID)
	}
	if held != nil {
		defer func() { <-held }()
	}
	for _, r := range p.replicas {
		if !slices.Contains(req.ExcludedReplicas, r.ID) {
			plan := &planner.Plan{Replica: r}
			if p.helpersOf == "" || p.helpersOf == r.ID {
				plan.Helpers = p.helpers
			}
			return planner.Result{ID: req.ID, Plan: plan}, nil
		}
	}
	refusal := &planner.Refusal{Cause: planner.CauseNoReplica, RetryAfter: time.Second}
	return planner.Result{ID: req.ID, Refusal: refusal}, nil
}

func (p *unawarePlanner) Started(string)                                  {}
func (p *unawarePlanner) ExtraWait(context.Context, string) time.Duration { return 0 }

func (p *unawarePlanner) Ended(_ string, outcome planner.Outcome, _ planner.Pause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, outcome)
}

func (p *unawarePlanner) IsEvacuated(plan *planner.Plan) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuated[plan.Replica.ID] ||
		slices.ContainsFunc(plan.Helpers, func(h planner.Helper) bool { return p.evacuated[h.Replica] })
}

func (p *unawarePlanner) EvacuatedReplicas(string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.evacuated))
}

func (p *unawarePlanner) evacuate(ids ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = make(map[string]bool)
	for _, id := range ids {
		p.evacuated[id] = true
	}
}

func (p *unawarePlanner) Leaving(r replica.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving[r.ID] = true
}

func (p *unawarePlanner) Misdirected(at replica.Location) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misdirected = append(p.misdirected, at.ID)
}

func (p *unawarePlanner) HasLeft(r replica.Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving[r.ID]
}

func (p *unawarePlanner) NamedLimit(r replica.Replica, _ time.Time, limited bool, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limited[r.ID] = limited
	if !limited {
		perSecond = -1
	}
	p.stated = append(p.stated, perSecond)
}

func (p *unawarePlanner) NamedCold(r replica.Replica, _ time.Time, remaining time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold = append(p.cold, r.ID+" "+remaining.String())
}

func (p *unawarePlanner) MaySend(result planner.Result) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.limited[result.Plan.Replica.ID]
}

// statingReplica counts its requests and sets the given headers in its responses, which have the given status.
type statingReplica struct {
	status int
	header http.Header

	mu       sync.Mutex
	requests int
	delay    time.Duration // before the response
}

func (s *statingReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests++
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s")
	for name, values := range s.header {
		w.Header()[name] = values
	}
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, "x")
}

// statingWorld is a relay with two replicas, the first of which states something about further requests.
func statingWorld(t *testing.T, status int, header http.Header) (*relay.Relay, *unawarePlanner, []*statingReplica) {
	t.Helper()
	replicas := []*statingReplica{{status: status, header: header}, {status: http.StatusOK}}
	p := &unawarePlanner{limited: make(map[string]bool), leaving: make(map[string]bool)}
	for i, s := range replicas {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		p.replicas = append(p.replicas, replica.Replica{
			ID: string(rune('a' + i)), Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		})
	}
	return newRelay(p, io.Discard, tally.NoopScope), p, replicas
}

// serveOne serves one call and returns the status of its response.
func serveOne(r *relay.Relay, id string) int {
	w := httptest.NewRecorder()
	r.Serve(context.Background(), w, newCall(id))
	return w.Code
}

// newCall returns a call of a plain service.
func newCall(id string) *call.Call {
	return &call.Call{
		ID: id, Method: http.MethodGet, Host: "shop.example", Target: "/x", Received: steady.Now(), Service: "desk",
		Header:        http.Header{"Request-Id": {id}},
		CallerTimeout: 5 * time.Second, RouteTimeout: 5 * time.Second, RetryMode: call.RetryFromStart, MaxAttempts: 3,
	}
}

// A replica says that it leaves, wants a pause or limits its requests, on heads of any status, and the planner goes on
// placing there: the host itself sends it nothing more. Guards each of these layers of the host alone (incident LIMIT).
func TestHostHeedsWhatReplicaSays(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		header http.Header
	}{
		{"leaves", http.StatusOK, http.Header{"Server-Leaving": {"1"}}},
		{"leaves, with an error", http.StatusInternalServerError, http.Header{"Server-Leaving": {"1"}}},
		{"wants a pause", http.StatusServiceUnavailable, http.Header{"Not-Executed": {"1"}, "Retry-After": {"30"}}},
		{"limits", http.StatusOK, http.Header{"Server-Limit": {"2.5"}}},
		{"limits, not found", http.StatusNotFound, http.Header{"Server-Limit": {"2.5"}}},
		{"limits, with an error", http.StatusInternalServerError, http.Header{"Server-Limit": {"2.5"}}},
		{"limits, not run", http.StatusServiceUnavailable, http.Header{"Not-Executed": {"1"}, "Server-Limit": {"2.5"}}},
		{"limits, busy", http.StatusTooManyRequests, http.Header{"Not-Executed": {"1"}, "Server-Limit": {"0"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, _, replicas := statingWorld(t, test.status, test.header)
			for _, id := range []string{"r1", "r2", "r3"} {
				serveOne(r, id)
			}
			if replicas[0].requests != 1 || replicas[1].requests < 2 {
				t.Errorf("the replica got %d requests, the other one %d", replicas[0].requests, replicas[1].requests)
			}
		})
	}
}

// A host has asked for a plan when the planned replica asks it for a pause, in a response to another request. Guards
// against sending the plan that comes later.
func TestPlanInHandIsDroppedForPause(t *testing.T) {
	r, p, replicas := statingWorld(t, http.StatusServiceUnavailable, http.Header{"Not-Executed": {"1"}, "Retry-After": {"30"}})
	held := make(chan struct{})
	p.held = held
	served := make(chan int)
	go func() { served <- serveOne(r, "r1") }()
	for asked := false; !asked; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		asked = p.held == nil
		p.mu.Unlock()
	}
	serveOne(r, "r2")
	close(held)
	if status := <-served; status != http.StatusOK || replicas[0].requests != 1 {
		t.Errorf("status %d; the replica got %d requests, want 1", status, replicas[0].requests)
	}
}

// A response 421 comes from another server than the planned one, to which its statements don't apply.
func TestMisdirectedResponseStatesNothing(t *testing.T) {
	r, p, _ := statingWorld(t, http.StatusMisdirectedRequest, http.Header{
		"Not-Executed": {"1"}, "Server-Limit": {"1"}, "Server-Leaving": {"1"},
	})
	serveOne(r, "r1")
	if p.limited["a"] || p.leaving["a"] {
		t.Error("a statement of another server counts for the planned one")
	}
}

// Guards against a cold replica whose responses say so and that the planner doesn't hear of, whatever their status.
func TestColdReplicaIsReported(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		r, p, _ := statingWorld(t, status, http.Header{"Cold-Remaining-Ms": {"1500"}, "Not-Executed": {"1"}})
		serveOne(r, "r1")
		if !slices.Equal(p.cold, []string{"a 1.5s"}) {
			t.Errorf("status %d: reported %v", status, p.cold)
		}
	}
}

// The end of a limit is noticed by responses without it, but not by those that are no valid response of a replica.
func TestEndOfLimitIsReported(t *testing.T) {
	r, p, _ := statingWorld(t, http.StatusOK, nil)
	serveOne(r, "r1")
	r2, p2, _ := statingWorld(t, http.StatusOK, http.Header{"Content-Encoding": {"gzip"}})
	serveOne(r2, "r2")
	if !slices.Equal(p.stated, []float64{-1}) || len(p2.stated) != 1 {
		t.Errorf("stated %v by a valid response, %v by one that isn't and a valid one; want one each", p.stated, p2.stated)
	}
}

// panickingMemory panics in each command.
type panickingMemory struct{ noMemory }

func (panickingMemory) Release(context.Context, replica.Location, string) error { panic("release") }

// Guards against a panic in a goroutine that works for one request and ends the process: that of a hedge, and that of a
// memory reservation.
func TestPanicBesideRequestEndsNoOther(t *testing.T) {
	r, p, replicas := statingWorld(t, http.StatusOK, nil)
	replicas[0].mu.Lock()
	replicas[0].delay = time.Second // a hedge begins before the response
	replicas[0].mu.Unlock()
	p.panics = true
	if status := serveOne(r, "r1"); status != http.StatusOK {
		t.Errorf("status %d after a panic of the hedge", status)
	}
	r, p, _ = statingWorld(t, http.StatusOK, nil)
	r.Memory = panickingMemory{}
	p.helpers = []planner.Helper{{Replica: "b", Address: p.replicas[1].Address, ReservedTokens: 10}}
	if status := serveOne(r, "r2"); status != http.StatusOK {
		t.Errorf("status %d beside a panic of a reservation", status)
	}
	time.Sleep(50 * time.Millisecond) // until the reservation is released
}

// regionsOf says which replicas are in an allowed region, by ID.
type regionsOf map[string]bool

func (r regionsOf) AllowPlan(_ []string, p *planner.Plan) bool { return r[p.Replica.ID] }

func (regionsOf) AllowHost([]string, netip.AddrPort) bool { return false }

// restrictedDialer counts the connections that may go through any host.
type restrictedDialer struct {
	dialer.Dialer
	anyHost int
}

func (d *restrictedDialer) DialThrough(ctx context.Context, server netip.AddrPort, passes func(netip.AddrPort) bool) (
	netconn.Conn, error,
) {
	if passes == nil || passes(server) {
		d.anyHost++
	}
	return d.Dialer.DialThrough(ctx, server, passes)
}

// Guards against a call with allowed regions that is sent as a planner of an earlier version plans it, to any replica, and against
// one that is sent by a host that knows no regions (incident HOME).
func TestCallsStayInAllowedRegions(t *testing.T) {
	for _, test := range []struct {
		name    string
		regions relay.Regions
		allowed []string
		status  int
		want    []int // requests that the replicas get
	}{
		{"first allowed", regionsOf{"a": true}, []string{"north"}, http.StatusOK, []int{1, 0}},
		{"second allowed", regionsOf{"b": true}, []string{"north"}, http.StatusOK, []int{0, 1}},
		{"none allowed", regionsOf{}, []string{"north"}, http.StatusServiceUnavailable, []int{0, 0}},
		{"no regions known", nil, []string{"north"}, http.StatusServiceUnavailable, []int{0, 0}},
		{"any region", regionsOf{}, nil, http.StatusOK, []int{1, 0}},
	} {
		r, p, replicas := statingWorld(t, http.StatusOK, nil)
		r.Regions = test.regions
		d := &restrictedDialer{}
		r.Pool.Dialer = d
		w := httptest.NewRecorder()
		r.Serve(context.Background(), w, &call.Call{
			ID: "r1", Method: http.MethodGet, Host: "shop.example", Target: "/x", Received: steady.Now(), Service: "desk",
			Header: http.Header{"Request-Id": {"r1"}}, AllowedRegions: test.allowed,
			CallerTimeout: 5 * time.Second, RouteTimeout: 5 * time.Second, RetryMode: call.RetryFromStart, MaxAttempts: 3,
		})
		got := []int{replicas[0].requests, replicas[1].requests}
		if w.Code != test.status || !slices.Equal(got, test.want) {
			t.Errorf("%s: status %d, requests %v; want %d, %v", test.name, w.Code, got, test.status, test.want)
		}
		if !slices.Equal(p.regions[0], test.allowed) || d.anyHost > 0 && test.allowed != nil {
			t.Errorf("%s: the planner was asked for regions %v, %d connections could go through any host", test.name,
				p.regions[0], d.anyHost)
		}
	}
}

// A replica has gone from its address if another one responds there, but not if it responds 421 itself, since it has other weights
// than the caller wants. Guards against sound replicas that get nothing more for such a response.
func TestStatus421OfReplicaItselfIsNoReuse(t *testing.T) {
	for _, test := range []struct {
		responder     string
		checksVersion bool
		want          []string
	}{
		{"z", false, []string{"a"}},
		{"z", true, []string{"a"}},
		{"", false, []string{"a"}},
		{"a", false, nil},
		{"a", true, nil},
		{"", true, nil},
	} {
		header := http.Header{"Not-Executed": {"1"}}
		if test.responder != "" {
			header.Set("Instance-Id", test.responder)
		}
		r, p, _ := statingWorld(t, http.StatusMisdirectedRequest, header)
		c := newCall("r1")
		c.ChecksVersion = test.checksVersion
		w := httptest.NewRecorder()
		r.Serve(t.Context(), w, c)
		if w.Code != http.StatusOK || !slices.Equal(p.misdirected, test.want) {
			t.Errorf("421 by %q, version checked: %t: status %d, replicas that have gone %v, want %v", test.responder,
				test.checksVersion, w.Code, p.misdirected, test.want)
		}
	}
}

// A replica can't run a prompt because of a helper, which it names by its ID or its address. Guards against the primary replica
// being left out and blamed, while the next plan has the same helper.
func TestHelperAtFaultIsLeftOut(t *testing.T) {
	for _, test := range []struct{ atFault, want string }{
		{"h1", "h1"}, {"10.0.0.1:80", "h1"}, {"", "a"}, {"a", "a"}, {"10.0.0.9:80", "a"},
	} {
		header := http.Header{"Not-Executed": {"1"}}
		if test.atFault != "" {
			header.Set("At-Server", test.atFault)
		}
		r, p, _ := statingWorld(t, http.StatusServiceUnavailable, header)
		p.helpers = []planner.Helper{{Replica: "h1", Address: netip.MustParseAddrPort("10.0.0.1:80")}}
		serveOne(r, "r1")
		wantEnded := planner.OutcomeRefused
		if test.want == "h1" {
			wantEnded = planner.OutcomeCanceled
		}
		if len(p.excluded) < 2 || !slices.Equal(p.excluded[1], []string{test.want}) || p.ended[0] != wantEnded {
			t.Errorf("at fault %q: placement requests exclude %v, the first attempt ended %v; want %s excluded after %s", test.atFault,
				p.excluded, p.ended, test.want, wantEnded)
		}
	}
}

// refusingMemory has no memory for anybody.
type refusingMemory struct{ noMemory }

func (refusingMemory) Reserve(context.Context, replica.Location, string, int, time.Duration) error {
	return errors.New("connection timed out")
}

// The first helper that is asked for memory can't be reached. Guards against SHORT: the primary replica was left out, so that the next plan
// of a large prompt had the same helper, and each of these plans took a retry though no server had got the call.
func TestHelperWithoutMemoryIsLeftOut(t *testing.T) {
	r, p, _ := statingWorld(t, http.StatusOK, nil)
	r.Memory = refusingMemory{}
	r.Budget = &budget.Budget{Window: time.Second, Hosts: func() int { return 1 }}
	p.helpers = []planner.Helper{{Replica: "h1", Address: netip.MustParseAddrPort("10.0.0.1:80"), ReservedTokens: 1}}
	serveOne(r, "r1")
	if len(p.excluded) < 2 || !slices.Equal(p.excluded[1], []string{"h1"}) || p.ended[0] != planner.OutcomeCanceled {
		t.Errorf("placement requests exclude %v, attempts ended %v", p.excluded, p.ended)
	}
}
