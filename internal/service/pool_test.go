package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// startServer runs a server that handles calls with h, and returns it and the number of calls that it has received.
func startServer(t *testing.T, name string, h http.HandlerFunc) (protocol.Server, *atomic.Int32) {
	t.Helper()
	calls := new(atomic.Int32)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h(w, r)
	}))
	t.Cleanup(srv.Close)
	return protocol.Server{Name: name, Address: netip.MustParseAddrPort(srv.Listener.Addr().String())}, calls
}

// closedServer returns a server that refuses connections.
func closedServer(t *testing.T) protocol.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return protocol.Server{Name: "closed", Address: netip.MustParseAddrPort(l.Addr().String())}
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// abort closes the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// abortInBody closes the connection within the response body.
func abortInBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "half")
}

// notRun responds that the call was refused before it ran.
func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcome.Header, string(outcome.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func unavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestDo checks whether a call that fails at the first server is retried at the second one, which is farther away and
// works.
func TestDo(t *testing.T) {
	tests := []struct {
		name       string
		first      http.HandlerFunc // of the first server; nil means that it refuses connections
		idempotent bool
		noBudget   bool
		status     int // of the response; 0 means an error of kind
		kind       Kind
		calls      int32 // at the second server
	}{
		{name: "no failure", first: ok, status: 200},
		{name: "connection refused", status: 200, calls: 1},
		{name: "refused before running", first: notRun, status: 200, calls: 1},
		{name: "refused before running, no budget", first: notRun, noBudget: true, kind: KindRefused},
		{name: "connection closed before the response", first: abort, kind: KindBroken},
		{name: "connection closed in the response", first: abortInBody, kind: KindBroken},
		{name: "unavailable", first: unavailable, status: 503},
		{name: "idempotent, connection closed before the response", first: abort, idempotent: true, status: 200, calls: 1},
		{name: "idempotent, connection closed in the response", first: abortInBody, idempotent: true, status: 200, calls: 1},
		{name: "idempotent, unavailable", first: unavailable, idempotent: true, status: 200, calls: 1},
		{name: "idempotent, connection closed, no budget", first: abort, idempotent: true, noBudget: true, kind: KindBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := closedServer(t)
			if tt.first != nil {
				first, _ = startServer(t, "near", tt.first)
			}
			first.FailureDomain = "fd1"
			second, calls := startServer(t, "far", ok)
			p := &Pool{FailureDomain: "fd1", TakeRetry: func() bool { return !tt.noBudget }}
			p.SetServers("s", []protocol.Server{second, first})
			call := &Call{
				Service: "s", Method: http.MethodPost, Path: "/x", Idempotent: tt.idempotent,
				Header: http.Header{"Idempotency-Key": {"k"}},
			}
			response, err := p.Do(t.Context(), call)
			if tt.status != 0 && (err != nil || response.Status != tt.status) {
				t.Errorf("got %d, %v, want %d", response.Status, err, tt.status)
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

// TestNonIdempotentIsSentOnce checks that a call that is not idempotent is not sent twice when its connection breaks.
// On a kept-alive connection, net/http would send the second call again, because it has an idempotency key.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	tests := []struct {
		body      string
		keepAlive bool  // use kept-alive connections, to show that the call is then sent twice
		calls     int32 // that the server receives
	}{
		{body: "", calls: 2},
		{body: "order", calls: 2},
		{body: "order", keepAlive: true, calls: 3},
	}
	for _, tt := range tests {
		var abortNow atomic.Bool
		s, calls := startServer(t, "s1", func(w http.ResponseWriter, r *http.Request) {
			if abortNow.Load() {
				abort(w, r)
			}
			ok(w, r)
		})
		p := &Pool{}
		p.init()
		if tt.keepAlive {
			p.transport = &http.Transport{}
		}
		p.SetServers("s", []protocol.Server{s})
		call := &Call{
			Service: "s", Method: http.MethodPost, Path: "/x", Body: []byte(tt.body),
			Header: http.Header{"Idempotency-Key": {"k"}},
		}
		if _, err := p.Do(t.Context(), call); err != nil {
			t.Fatal(err)
		}
		abortNow.Store(true)
		if _, err := p.Do(t.Context(), call); !MayHaveRun(err) {
			t.Errorf("got %v", err)
		}
		if calls.Load() != tt.calls {
			t.Errorf("%+v: %d calls", tt, calls.Load())
		}
	}
}

func TestDeadline(t *testing.T) {
	s, _ := startServer(t, "s1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	p := &Pool{}
	p.SetServers("s", []protocol.Server{s})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, &Call{Service: "s", Method: http.MethodGet, Path: "/"}); !MayHaveRun(err) {
		t.Errorf("got %v", err)
	}
}

func TestSetServers(t *testing.T) {
	a, callsA := startServer(t, "a", ok)
	b, callsB := startServer(t, "b", ok)
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
		t.Errorf("%d calls at the removed server, %d at the other", callsA.Load(), callsB.Load())
	}
}

func TestCooldown(t *testing.T) {
	now := time.Unix(0, 0)
	s := &server{}
	for range failuresUntilCooldown {
		s.startCall()
		s.endCall(now, false)
	}
	if !now.Before(s.cooldownUntil) {
		t.Error("no cooldown after failures")
	}
	s.startCall()
	s.endCall(now, true)
	if now.Before(s.cooldownUntil) {
		t.Error("still cooling down after a successful call")
	}
}

func TestDropHopByHop(t *testing.T) {
	h := http.Header{"Connection": {"close, X-One"}, "X-One": {"1"}, "X-Two": {"2"}, "Transfer-Encoding": {"chunked"}}
	dropHopByHopHeaders(h)
	if len(h) != 1 || h.Get("X-Two") != "2" {
		t.Errorf("got %v", h)
	}
}

// Guards against a late second copy of a response, sent when its connection is in use again, that the next call gets.
func TestLateCopyIsNoResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go sendLateCopies(c)
		}
	}()
	p := &Pool{}
	p.SetServers("stock", []protocol.Server{{Name: "s", Address: netip.MustParseAddrPort(l.Addr().String())}})
	for _, path := range []string{"/1", "/2", "/3"} {
		resp, err := p.Do(context.Background(), &Call{Service: "stock", Method: http.MethodGet, Path: path, Idempotent: true})
		if err != nil || string(resp.Body) != path {
			t.Errorf("%s: got response %q, error %v", path, resp.Body, err)
		}
	}
}

// sendLateCopies responds to each request with its path, and before that with what it has sent last.
func sendLateCopies(c net.Conn) {
	last := ""
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, last)
		last = "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(r.URL.Path)) + "\r\n\r\n" + r.URL.Path
		_, _ = io.WriteString(c, last)
	}
}
