package relay_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/budget"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/crossing"
	"github.com/turmericshunt/turmericshunt/internal/dialer"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/platform"
)

const (
	raceEvents  = 8
	raceCallers = 120
	raceTime    = 11 * time.Second
)

// racePlanner places each request at a random replica that isn't excluded, after a random time, and refuses some.
// It never has an extra wait, so that each silence starts a hedge.
type racePlanner struct {
	replicas []replica.Replica

	mu       sync.Mutex
	placed   map[string]bool // placements in progress, by ID
	attempts map[string]int  // placement requests by fingerprint
	faults   []string
	refusals int
}

func (p *racePlanner) Place(ctx context.Context, req planner.Request) (planner.Result, error) {
	p.mu.Lock()
	first := p.attempts[strconv.FormatUint(req.Fingerprint, 16)] == 0
	p.attempts[strconv.FormatUint(req.Fingerprint, 16)]++
	p.mu.Unlock()
	if !first {
		select {
		case <-time.After(time.Duration(rand.IntN(400)) * time.Millisecond):
		case <-ctx.Done():
			return planner.Result{}, ctx.Err()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !first && rand.IntN(5) == 0 {
		p.refusals++
		return planner.Result{ID: req.ID, Refusal: &planner.Refusal{Cause: "busy", RetryAfter: time.Second}}, nil
	}
	for {
		r := p.replicas[rand.IntN(len(p.replicas))]
		excluded := false
		for _, id := range req.ExcludedReplicas {
			excluded = excluded || id == r.ID
		}
		if !excluded {
			p.placed[req.ID] = true
			return planner.Result{ID: req.ID, Plan: &planner.Plan{Replica: r}}, nil
		}
	}
}

func (p *racePlanner) Started(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.placed[id] {
		p.faults = append(p.faults, "started, but not placed: "+id)
	}
}

func (p *racePlanner) Ended(id string, _ planner.Outcome, _ planner.Pause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.placed[id] {
		p.faults = append(p.faults, "ended twice or never placed: "+id)
	}
	delete(p.placed, id)
}

func (p *racePlanner) ExtraWait(context.Context, string) time.Duration { return 0 }
func (p *racePlanner) Leaving(replica.Replica)                         {}
func (p *racePlanner) Misdirected(replica.Location)                    {}
func (p *racePlanner) HasLeft(replica.Replica) bool                    { return false }
func (p *racePlanner) IsEvacuated(*planner.Plan) bool                  { return false }
func (p *racePlanner) EvacuatedReplicas(string) []string               { return nil }
func (p *racePlanner) MaySend(planner.Result) bool                     { return true }

func (p *racePlanner) NamedCold(replica.Replica, time.Time, time.Duration)  {}
func (p *racePlanner) NamedLimit(replica.Replica, time.Time, bool, float64) {}

type noMemory struct{}

func (noMemory) Reserve(context.Context, replica.Location, string, int, time.Duration) error {
	return nil
}
func (noMemory) Confirm(context.Context, replica.Location) error         { return nil }
func (noMemory) Release(context.Context, replica.Location, string) error { return nil }

// newRelay returns a relay of the host h with a large retry budget, which logs to out.
func newRelay(p relay.PlannerClient, out io.Writer, scope tally.Scope) *relay.Relay {
	return &relay.Relay{
		Pool: &backend.Pool{Codec: platform.HeaderCodec{}, Dialer: &dialer.Dialer{}}, PlannerClient: p, Memory: noMemory{},
		Budget:   &budget.Budget{Ratio: 10, Slack: 1e6, Window: time.Second, Hosts: func() int { return 1 }},
		Payloads: &payload.Budget{}, Crossings: &crossing.Meter{Metrics: scope},
		Marker: platform.HeaderCodec{}, Log: eventlog.New(out, "h"), Metrics: scope,
	}
}

// raceReplicas serve streams whose first attempt is sound but falls silent once at a random place between two events.
// Further attempts are sound, silent and then sound, refused, broken off inside the first event, or never answered.
type raceReplicas struct {
	active atomic.Int64 // attempts in progress

	mu       sync.Mutex
	attempts map[string]int         // by Request-Id
	resumes  map[string]map[int]int // last event that the caller has, by Request-Id and attempt
	kinds    map[string]int
	run      map[string]int // attempts that weren't refused
}

func (p *raceReplicas) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.active.Add(1)
	defer p.active.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := r.Header.Get("Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p.mu.Lock()
	p.attempts[id]++
	attempt := p.attempts[id]
	kind := "silent"
	if attempt > 1 {
		kind = []string{"silent", "sound", "sound", "refused", "broken", "hangs"}[rand.IntN(6)]
	}
	if p.resumes[id] == nil {
		p.resumes[id] = make(map[int]int)
	}
	p.resumes[id][attempt] = last
	p.kinds[kind]++
	if kind != "refused" {
		p.run[id]++
	}
	p.mu.Unlock()
	p.serve(conn, id, kind, attempt, last+1)
}

func (p *raceReplicas) serve(conn net.Conn, id, kind string, attempt, from int) {
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	pause := func(d time.Duration) bool { // reports whether the connection is still open after d
		select {
		case <-time.After(d):
			return true
		case <-closed:
			return false
		}
	}
	event := func(n int) string {
		text := fmt.Sprintf("id: %d\ndata: %s run %d\n\n", n, id, attempt)
		return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\nConnection: close\r\nRun: " +
		strconv.Itoa(attempt) + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	switch kind {
	case "refused":
		pause(time.Duration(rand.IntN(300)) * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: "+id+
			"\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	case "broken":
		text := event(from)
		_, _ = io.WriteString(conn, head+text[:len(text)/2])
		pause(time.Duration(rand.IntN(300)) * time.Millisecond)
		return
	case "hangs":
		<-closed
		return
	}
	hush := -1
	if kind == "silent" {
		hush = from - 1 + rand.IntN(raceEvents-from+2)
	}
	silence := time.Duration(200+rand.IntN(1400)) * time.Millisecond
	if hush == from-1 && !pause(silence) {
		return
	}
	_, _ = io.WriteString(conn, head)
	for n := from; n <= raceEvents; n++ {
		_, _ = io.WriteString(conn, event(n))
		d := time.Duration(rand.IntN(40)) * time.Millisecond
		if n == hush {
			d = silence
		}
		if !pause(d) {
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// check checks a complete response: no event is missing or twice, the head is that of the run of the first event, runs
// follow each other, and each run was asked to go on where the one before it ended.
func (p *raceReplicas) check(id string, header http.Header, body string) error {
	next, run := 1, 0
	for _, text := range strings.SplitAfter(body, "\n\n") {
		if text == "" {
			continue
		}
		var n, of int
		var name string
		if _, err := fmt.Sscanf(text, "id: %d\ndata: %s run %d\n\n", &n, &name, &of); err != nil || name != id || n != next {
			return fmt.Errorf("event %q where number %d is due, %w", text, next, err)
		}
		if run == 0 && header.Get("Run") != strconv.Itoa(of) {
			return fmt.Errorf("head of run %s, first event of run %d", header.Get("Run"), of)
		}
		if of != run {
			p.mu.Lock()
			asked := p.resumes[id][of]
			p.mu.Unlock()
			if asked != n-1 {
				return fmt.Errorf("event %d of run %d, which was asked to go on after %d, follows run %d", n, of, asked, run)
			}
		}
		run = of
		next++
	}
	if next != raceEvents+1 {
		return fmt.Errorf("%d events", next-1)
	}
	return nil
}

// Failure: with many streams whose sound replicas fall silent, callers that leave and hedges that fail, a stream is cut
// or joined wrongly, is sent too often, or an attempt isn't ended.
func TestManySilentStreams(t *testing.T) {
	const maxAttempts = 3
	before := runtime.NumGoroutine()
	servers := &raceReplicas{
		attempts: make(map[string]int), resumes: make(map[string]map[int]int), kinds: make(map[string]int),
		run: make(map[string]int),
	}
	p := &racePlanner{placed: make(map[string]bool), attempts: make(map[string]int)}
	for i := range 6 {
		s := httptest.NewServer(servers)
		defer s.Close()
		p.replicas = append(p.replicas, replica.Replica{
			ID: "i-" + strconv.Itoa(i), Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
		})
	}
	var logs strings.Builder
	var logMu sync.Mutex
	scope := tally.NewTestScope("", nil)
	rel := newRelay(p, writerFunc(func(b []byte) (int, error) {
		logMu.Lock()
		defer logMu.Unlock()
		return logs.Write(b)
	}), scope)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		rel.Serve(r.Context(), w, &call.Call{
			ID: id, Method: http.MethodPost, Host: "h", Target: "/" + id, Header: r.Header, Body: []byte("q"), Service: "s",
			PromptTokens: 10, OutputTokens: 10, Received: steady.Now(), CallerTimeout: 8 * time.Second,
			RouteTimeout: 8 * time.Second, RetryMode: call.RetryResume, Stream: true, MaxAttempts: maxAttempts,
		})
	}))
	defer front.Close()
	front.Config.ErrorLog = nil
	var complete, left, failed, switched, number atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(raceTime)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	for range raceCallers {
		all.Add(1)
		go func() {
			defer all.Done()
			for time.Now().Before(end) {
				ctx, cancel := context.WithCancel(context.Background())
				if rand.IntN(4) == 0 {
					time.AfterFunc(time.Duration(rand.IntN(2500))*time.Millisecond, cancel)
				}
				id := "r" + strconv.FormatInt(number.Add(1), 10)
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, front.URL, nil)
				if err != nil {
					t.Error(err)
				}
				req.Header.Set("Request-Id", id)
				began := time.Now()
				resp, err := client.Do(req)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				switch {
				case ctx.Err() != nil:
					left.Add(1)
				case err != nil || resp.StatusCode != http.StatusOK:
					failed.Add(1)
					t.Errorf("%s after %v: %v %v %q", id, time.Since(began), err, resp, body)
				default:
					complete.Add(1)
					if !strings.HasSuffix(string(body), "run 1\n\n") {
						switched.Add(1)
					}
					if err := servers.check(id, resp.Header, string(body)); err != nil {
						failed.Add(1)
						t.Errorf("%s: %v", id, err)
					}
				}
				cancel()
			}
		}()
	}
	all.Wait()
	time.Sleep(600 * time.Millisecond)
	if n := servers.active.Load(); n != 0 {
		t.Errorf("%d attempts are in progress at replicas 0.6 s after the last caller", n)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	servers.mu.Lock()
	defer servers.mu.Unlock()
	for id, runs := range servers.run {
		if runs > maxAttempts {
			t.Errorf("%s was sent to %d replicas that didn't refuse it", id, runs)
		}
	}
	if len(p.placed) > 0 || len(p.faults) > 0 {
		t.Errorf("not ended: %v; %v", p.placed, p.faults)
	}
	front.Close()
	t.Logf("complete %d (ended by another run %d), left %d, failed %d, attempts %v, planner refusals %d, in flight %d, "+
		"goroutines %d before, %d after", complete.Load(), switched.Load(), left.Load(), failed.Load(), servers.kinds, p.refusals,
		rel.InFlight(), before, runtime.NumGoroutine())
	for name, c := range scope.Snapshot().Counters() {
		t.Log(name, c.Value())
	}
	if t.Failed() {
		logMu.Lock()
		t.Log(logs.String())
		logMu.Unlock()
	}
}

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// Failure: the connection of a hedge that has read a complete response is in the pool, and may carry another call, when
// the transfer sets its limit of silence and its extra wait: a data race, and the other call is ended by these.
func TestHedgeDoesNotChangePooledConnection(t *testing.T) {
	var mu sync.Mutex
	attempts := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		attempts[id]++
		attempt := attempts[id]
		mu.Unlock()
		d := 10 * time.Millisecond
		switch {
		case strings.HasPrefix(id, "slow") && attempt == 1:
			d = 1600 * time.Millisecond
		case strings.HasPrefix(id, "once"):
			d = 1200 * time.Millisecond
		}
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Request-Id", id)
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "answer to "+id)
	}))
	defer server.Close()
	p := &racePlanner{placed: make(map[string]bool), attempts: make(map[string]int)}
	for i := range 3 {
		p.replicas = append(p.replicas, replica.Replica{
			ID: "i-" + strconv.Itoa(i), Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	logs := &strings.Builder{}
	var logMu sync.Mutex
	rel := newRelay(p, writerFunc(func(b []byte) (int, error) {
		logMu.Lock()
		defer logMu.Unlock()
		return logs.Write(b)
	}), tally.NoopScope)
	call1 := func(id string, mode call.RetryMode) {
		w := httptest.NewRecorder()
		rel.Serve(context.Background(), w, &call.Call{
			ID: id, Method: http.MethodGet, Host: "h", Target: "/" + id, Header: http.Header{"Request-Id": {id}}, Service: "s",
			Received: steady.Now(), CallerTimeout: 4 * time.Second, RouteTimeout: 4 * time.Second, RetryMode: mode,
			FirstTarget: 100 * time.Millisecond, MaxAttempts: 2,
		})
		if w.Code != http.StatusOK && w.Code != http.StatusServiceUnavailable || w.Code == http.StatusOK && w.Body.String() != "answer to "+id {
			t.Errorf("%s: status %d, %q", id, w.Code, w.Body)
		}
	}
	var all sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for i := range 60 {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; time.Now().Before(end); n++ {
				if i%2 == 0 {
					call1(fmt.Sprintf("slow-%d-%d", i, n), call.RetryFromStart)
				} else {
					call1(fmt.Sprintf("once-%d-%d", i, n), call.RetryNever)
				}
			}
		}()
	}
	all.Wait()
	logMu.Lock()
	defer logMu.Unlock()
	if t.Failed() {
		for _, line := range strings.Split(logs.String(), "\n") {
			if strings.Contains(line, `"attempt_ended"`) && strings.Contains(line, "once-") {
				t.Log(line)
			}
		}
	}
}
