package order

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/service"
	standin "github.com/turmericshunt/turmericshunt/internal/standin/platform"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// services is a plain service that counts the calls it runs.
type services struct {
	runs    atomic.Int32
	respond func(runs int) (service.Response, error) // nil responds 201 at once
}

func (s *services) Do(_ context.Context, call *service.Call) (service.Response, error) {
	runs := s.runs.Add(1)
	if s.respond != nil {
		return s.respond(int(runs))
	}
	return service.Response{Status: http.StatusCreated, Body: append([]byte("done: "), call.Body...)}, nil
}

// owners implements Owners with the runners of a test, by host name. A host with no runner is unreachable.
type owners map[string]*Runner

func (o owners) AttemptRunning(_ context.Context, id protocol.AttemptID) (bool, error) {
	if o[id.Host] == nil {
		return false, errors.New("unreachable")
	}
	return o[id.Host].Running(id), nil
}

// peersOf implements Peers for the host asker: it asks all other runners of a test. A nil runner is unreachable.
type peersOf struct {
	owners
	asker string
}

func (o peersOf) SentElsewhere(_ context.Context, key string) (bool, error) {
	for host, r := range o.owners {
		if host == o.asker {
			continue
		}
		if r == nil {
			return false, errors.New("unreachable")
		}
		if r.Sent(key) {
			return true, nil
		}
	}
	return false, nil
}

// newRunner returns the runner of a host that uses store p and service s, and adds it to o.
func newRunner(host string, p *standin.Server, s Services, o owners) *Runner {
	r := &Runner{
		Store: &platform.Client{
			Endpoint: netip.MustParseAddrPort("127.0.0.1:1"), Host: host,
			HTTPClient: &http.Client{Transport: &standin.InProcess{Server: p}},
		},
		Services: s, Owners: o, Peers: peersOf{o, host}, Host: protocol.Host{Name: host, Incarnation: 1},
	}
	o[host] = r
	return r
}

func request(key, body string) *Request {
	return &Request{
		Workspace: "w", Key: key, Service: "orders", Method: http.MethodPost, Path: "/confirm",
		Body: []byte(body), Deadline: time.Now().Add(10 * time.Second),
	}
}

// resultText returns the result of Do as text: the error kind and outcome, or the response and whether it is replayed.
func resultText(a Response, err error) string {
	var e *outcome.Error
	if errors.As(err, &e) {
		return string(e.Kind) + " " + string(e.Outcome)
	}
	if a.Replayed {
		return "replayed " + string(a.Body)
	}
	return "answered " + string(a.Body)
}

// failWith returns the function of a service whose calls all fail with an error of the given kind.
func failWith(kind service.Kind) func(int) (service.Response, error) {
	return func(int) (service.Response, error) { return service.Response{}, &service.Error{Op: "call", Kind: kind} }
}

func TestDo(t *testing.T) {
	tests := []struct {
		name   string
		faults platformapi.Faults // of the store during the first submission
		answer func(int) (service.Response, error)
		body   string // of the second submission
		first  string // result of the first submission
		resend string // result of the second submission, at another host after the faults ended
		runs   int32  // total calls run by the service
	}{
		{
			name: "resend gets the recorded answer", body: "b",
			first: "answered done: b", resend: "replayed done: b", runs: 1,
		},
		{
			name: "same key with another body", body: "c",
			first: "answered done: b", resend: "idempotency_key_reused not_run", runs: 1,
		},
		{
			name: "lost answers of the store", faults: platformapi.Faults{LoseWriteAnswers: 3}, body: "b",
			first: "answered done: b", resend: "replayed done: b", runs: 1,
		},
		{
			name: "store down", faults: platformapi.Faults{Down: true}, body: "b",
			first: "store_unavailable not_run", resend: "answered done: b", runs: 1,
		},
		{
			name: "store silent", faults: platformapi.Faults{Hang: true}, body: "b",
			first: "store_unavailable not_run", resend: "answered done: b", runs: 1,
		},
		{
			name: "store late", faults: platformapi.Faults{LateMS: 3000}, body: "b",
			first: "store_unavailable not_run", resend: "answered done: b", runs: 1,
		},
		{
			name: "answer of the service lost", answer: failWith(service.KindBroken), body: "b",
			first: "outcome_unknown unknown", resend: "outcome_unknown unknown", runs: 1,
		},
		{
			name: "refused by the service", answer: func(runs int) (service.Response, error) {
				if runs == 1 {
					return service.Response{}, &service.Error{Op: "call", Kind: service.KindRefused}
				}
				return service.Response{Status: http.StatusOK, Body: []byte("second")}, nil
			}, body: "b", first: "unavailable not_run", resend: "answered second", runs: 2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s, o := &standin.Server{}, &services{respond: tt.answer}, owners{}
				r1, r2 := newRunner("e1", p, s, o), newRunner("e2", p, s, o)
				p.SetFaults(tt.faults)
				start := time.Now()
				if got := resultText(r1.Do(t.Context(), request("k", "b"))); got != tt.first {
					t.Errorf("first: got %q, want %q", got, tt.first)
				}
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("replied after %v", took)
				}
				p.SetFaults(platformapi.Faults{})
				time.Sleep(10 * time.Second)
				if got := resultText(r2.Do(t.Context(), request("k", tt.body))); got != tt.resend {
					t.Errorf("resend: got %q, want %q", got, tt.resend)
				}
				if got := s.runs.Load(); got != tt.runs {
					t.Errorf("%d runs, want %d", got, tt.runs)
				}
			})
		})
	}
}

func TestResendWhileRunning(t *testing.T) {
	tests := []struct {
		name        string
		takes       time.Duration // response time of the service
		unreachable bool          // the first host cannot be asked
		want        string
	}{
		{"waits for its owner", 4 * time.Second, false, "replayed late"},
		{"owner works beyond the deadline", 15 * time.Second, false, "in_progress unknown"},
		{"owner is gone", 15 * time.Second, true, "outcome_unknown unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &services{respond: func(int) (service.Response, error) {
					time.Sleep(tt.takes)
					return service.Response{Status: http.StatusOK, Body: []byte("late")}, nil
				}}
				p, o := &standin.Server{}, owners{}
				r1, r2 := newRunner("e1", p, s, o), newRunner("e2", p, s, o)
				go func() { _, _ = r1.Do(t.Context(), request("k", "b")) }()
				time.Sleep(time.Second)
				if tt.unreachable {
					delete(o, "e1")
				}
				if got := resultText(r2.Do(t.Context(), request("k", "b"))); got != tt.want || s.runs.Load() != 1 {
					t.Errorf("got %q, want %q; %d runs", got, tt.want, s.runs.Load())
				}
				if err := r1.Stop(t.Context()); err != nil {
					t.Fatal(err)
				}
				if got := resultText(r2.Do(t.Context(), request("k", "b"))); got != "replayed late" {
					t.Errorf("after the first submission ended: got %q", got)
				}
				if got := resultText(r1.Do(t.Context(), request("k2", "b"))); got != "host_stopping not_run" {
					t.Errorf("while stopping: got %q", got)
				}
			})
		})
	}
}

// TestStoreDownAfterRun checks that, while the store is down, a submission is not reported as not_run if this host, a
// peer or the caller knows of an earlier submission of the order, or if a peer that might know cannot be reached.
func TestStoreDownAfterRun(t *testing.T) {
	tests := []struct {
		name   string
		key    string
		resend bool
		host   string
		want   string
	}{
		{"sent by this host", "k", false, "e1", "store_unavailable unknown"},
		{"sent by another host", "k", false, "e2", "store_unavailable unknown"},
		{"marked as a resend", "k2", true, "e1", "store_unavailable unknown"},
		{"first sending", "k2", false, "e1", "store_unavailable not_run"},
		{"first sending, a host is cut off", "k2", false, "e3", "store_unavailable unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s, o := &standin.Server{}, &services{}, owners{}
				r := newRunner("e1", p, s, o)
				newRunner("e2", p, s, o)
				if tt.host == "e3" {
					newRunner("e3", p, s, o).Peers = peersOf{owners{"e2": nil}, "e3"}
				}
				_, _ = r.Do(t.Context(), request("k", "b"))
				if got := resultText(r.Do(t.Context(), request("k", "c"))); got != "idempotency_key_reused not_run" {
					t.Errorf("another body: got %q", got)
				}
				p.SetFaults(platformapi.Faults{Down: true})
				q := request(tt.key, "b")
				q.Resend = tt.resend
				if got := resultText(o[tt.host].Do(t.Context(), q)); got != tt.want {
					t.Errorf("got %q, want %q", got, tt.want)
				}
				for _, r := range o {
					_ = r.Stop(t.Context())
				}
			})
		})
	}
}

// TestRetention checks that a claim lasts for the retention period and is deleted after it.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s, o := &standin.Server{}, &services{}, owners{}
		r := newRunner("e1", p, s, o)
		_, _ = r.Do(t.Context(), request("k", "b"))
		for range 11 {
			time.Sleep(time.Hour)
			if got := resultText(r.Do(t.Context(), request("k", "b"))); got != "replayed done: b" {
				t.Errorf("got %q", got)
			}
		}
		time.Sleep(2 * time.Hour)
		if _, err := r.Store.Get(t.Context(), "claims/"); platform.KindOf(err) != platform.KindNotFound {
			t.Errorf("got %v", err)
		}
		list, err := r.Store.(*platform.Client).List(t.Context(), "claims/")
		if err != nil || len(list.Entries) != 0 {
			t.Errorf("%d claims left after the retention period, %v", len(list.Entries), err)
		}
	})
}

// TestSentCountsSubmissionsInProgress guards against a false not_run: a submission that waits for the store may still
// run, so another submission with the same key must not be reported as if nothing ran.
func TestSentCountsSubmissionsInProgress(t *testing.T) {
	r := newRunner("e1", &standin.Server{}, &services{}, owners{})
	r.init()
	first, second := r.newTask(t.Context(), request("k", "b")), r.newTask(t.Context(), request("k", "b"))
	for _, task := range []*task{first, second} {
		if r.sentByOtherSubmission(task.key) {
			t.Error("the only submission in progress counts as another one")
		}
		r.begin(task)
	}
	if !r.Sent(first.key) || !r.sentByOtherSubmission(first.key) {
		t.Error("a submission in progress does not count")
	}
	r.end(first)
	r.end(second)
	if r.Sent(first.key) {
		t.Error("a submission that ended without a dispatch still counts")
	}
}
