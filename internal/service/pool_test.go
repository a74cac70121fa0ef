package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// start runs a server of the service and returns it with its count of calls.
func start(t *testing.T, name string, h http.HandlerFunc) (protocol.Server, *atomic.Int32) {
	t.Helper()
	calls := new(atomic.Int32)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h(w, r)
	}))
	t.Cleanup(srv.Close)
	return protocol.Server{Name: name, Address: netip.MustParseAddrPort(srv.Listener.Addr().String())}, calls
}

func closed(t *testing.T) protocol.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return protocol.Server{Name: "closed", Address: netip.MustParseAddrPort(l.Addr().String())}
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cutBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "half")
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcome.Header, string(outcome.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func unavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// The first server fails; the second one, farther away, would answer.
func TestDo(t *testing.T) {
	tests := []struct {
		name       string
		first      http.HandlerFunc // nil refuses connections
		idempotent bool
		noBudget   bool
		status     int // 0 means an error of kind
		kind       Kind
		calls      int32 // at the second server
	}{
		{name: "answers", first: ok, status: 200},
		{name: "connection refused", status: 200, calls: 1},
		{name: "refused before running", first: notRun, status: 200, calls: 1},
		{name: "refused before running, no budget", first: notRun, noBudget: true, kind: KindRefused},
		{name: "cut before the answer", first: cut, kind: KindBroken},
		{name: "cut in the answer", first: cutBody, kind: KindBroken},
		{name: "unavailable", first: unavailable, status: 503},
		{name: "idempotent, cut before the answer", first: cut, idempotent: true, status: 200, calls: 1},
		{name: "idempotent, cut in the answer", first: cutBody, idempotent: true, status: 200, calls: 1},
		{name: "idempotent, unavailable", first: unavailable, idempotent: true, status: 200, calls: 1},
		{name: "idempotent, cut, no budget", first: cut, idempotent: true, noBudget: true, kind: KindBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := closed(t)
			if tt.first != nil {
				first, _ = start(t, "near", tt.first)
			}
			first.FailureDomain = "fd1"
			second, calls := start(t, "far", ok)
			p := &Pool{FailureDomain: "fd1", MayRetry: func() bool { return !tt.noBudget }}
			p.SetServers("s", []protocol.Server{second, first})
			call := &Call{
				Service: "s", Method: http.MethodPost, Path: "/x", Idempotent: tt.idempotent,
				Header: http.Header{"Idempotency-Key": {"k"}},
			}
			answer, err := p.Do(t.Context(), call)
			if tt.status != 0 && (err != nil || answer.Status != tt.status) {
				t.Errorf("got %d, %v, want %d", answer.Status, err, tt.status)
			}
			if e, _ := err.(*Error); tt.status == 0 && (e == nil || e.Kind != tt.kind) { //nolint:errorlint // the interface is documented
				t.Errorf("got %v, want %s", err, tt.kind)
			}
			if calls.Load() != tt.calls {
				t.Errorf("%d calls at the second server, want %d", calls.Load(), tt.calls)
			}
		})
	}
}

// net/http would send the second call again, because its connection was kept open and has an idempotency key.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	tests := []struct {
		body  string
		kept  bool // sends over connections that were kept open, to show that this would be wrong
		calls int32
	}{
		{body: "", calls: 2},
		{body: "order", calls: 2},
		{body: "order", kept: true, calls: 3},
	}
	for _, tt := range tests {
		var cutNow atomic.Bool
		s, calls := start(t, "s1", func(w http.ResponseWriter, r *http.Request) {
			if cutNow.Load() {
				cut(w, r)
			}
			ok(w, r)
		})
		p := &Pool{}
		p.init()
		if tt.kept {
			p.fresh = p.kept
		}
		p.SetServers("s", []protocol.Server{s})
		call := &Call{
			Service: "s", Method: http.MethodPost, Path: "/x", Body: []byte(tt.body),
			Header: http.Header{"Idempotency-Key": {"k"}},
		}
		if _, err := p.Do(t.Context(), call); err != nil {
			t.Fatal(err)
		}
		cutNow.Store(true)
		if _, err := p.Do(t.Context(), call); !MayHaveRun(err) {
			t.Errorf("got %v", err)
		}
		if calls.Load() != tt.calls {
			t.Errorf("%+v: %d calls", tt, calls.Load())
		}
	}
}

func TestDeadline(t *testing.T) {
	s, _ := start(t, "s1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	p := &Pool{}
	p.SetServers("s", []protocol.Server{s})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, &Call{Service: "s", Method: http.MethodGet, Path: "/"}); !MayHaveRun(err) {
		t.Errorf("got %v", err)
	}
}

func TestSetServers(t *testing.T) {
	a, callsA := start(t, "a", ok)
	b, callsB := start(t, "b", ok)
	p := &Pool{}
	call := &Call{Service: "s", Method: http.MethodGet, Path: "/"}
	if _, err := p.Do(t.Context(), call); err == nil || MayHaveRun(err) {
		t.Errorf("without servers: %v", err)
	}
	p.SetServers("s", []protocol.Server{a})
	_, _ = p.Do(t.Context(), call)
	p.SetServers("s", []protocol.Server{b})
	for range 5 {
		_, _ = p.Do(t.Context(), call)
	}
	if callsA.Load() != 1 || callsB.Load() != 5 {
		t.Errorf("%d calls at the server that left, %d at the other", callsA.Load(), callsB.Load())
	}
}

func TestRest(t *testing.T) {
	now := time.Unix(0, 0)
	s := &server{}
	for range failuresUntilRest {
		s.begin()
		s.end(now, false)
	}
	if !now.Before(s.until) {
		t.Error("no rest after failures")
	}
	s.begin()
	s.end(now, true)
	if now.Before(s.until) {
		t.Error("still rests after an answer")
	}
}

func TestDropHopByHop(t *testing.T) {
	h := http.Header{"Connection": {"close, X-One"}, "X-One": {"1"}, "X-Two": {"2"}, "Transfer-Encoding": {"chunked"}}
	dropHopByHop(h)
	if len(h) != 1 || h.Get("X-Two") != "2" {
		t.Errorf("got %v", h)
	}
}
