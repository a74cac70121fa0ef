package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// rawWorld is a relay with one replica that serves each connection, once a request with its body has begun, by serve.
func rawWorld(t *testing.T, serve func(c *net.TCPConn)) *relay.Relay {
	t.Helper()
	address := listener.Serve(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 4096))
		serve(c)
	})
	p := &unawarePlanner{limited: make(map[string]bool), leaving: make(map[string]bool)}
	p.replicas = []replica.Replica{{ID: "a", Address: address}}
	return newRelay(p, io.Discard, tally.NoopScope)
}

// serveBody serves one call with the given body and returns its response, nil if the connection was cut.
func serveBody(r *relay.Relay, mode call.RetryMode, stream bool, body []byte) (w *httptest.ResponseRecorder) {
	defer func() {
		if recover() != nil {
			w = nil
		}
	}()
	w = httptest.NewRecorder()
	r.Serve(context.Background(), w, &call.Call{
		ID: "r1", Method: http.MethodPost, Host: "shop.example", Target: "/x", Received: steady.Now(), Service: "desk",
		Header: http.Header{"Request-Id": {"r1"}}, Body: body, CallerTimeout: 2 * time.Second, RouteTimeout: 2 * time.Second,
		RetryMode: mode, Stream: stream, MaxAttempts: 1,
	})
	return w
}

// Guards against MIXED: a replica in trouble answers with an impossible status, which the caller gets.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "199", "20", "2000", "-200", "+200", "0200", "2 0", "abc", "600", "999"} {
		for _, mode := range []call.RetryMode{call.RetryNever, call.RetryFromStart, call.RetryResume} {
			t.Run(fmt.Sprintf("%s, retry %v", status, mode), func(t *testing.T) {
				r := rawWorld(t, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok")
					_ = c.CloseWrite()
				})
				w := serveBody(r, mode, mode == call.RetryResume, nil)
				if w == nil || w.Code != http.StatusBadGateway || w.Header().Get("Response-Signature") != "" {
					t.Errorf("response %+v, want 502 without a signature", w)
				}
			})
		}
	}
}

// Guards against MIXED and ORDER: a replica stops anywhere in the head of its response and closes or resets the connection, and the
// caller gets a success with an empty or short body.
func TestResponseThatEndsInItsHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\nResponse-Signature: s\r\n"
	for name, whole := range map[string]string{
		"length":    head + "Content-Length: 22\r\n\r\n",
		"chunks":    head + "Transfer-Encoding: chunked\r\n\r\n",
		"no length": head + "Connection: close\r\n\r\n",
	} {
		for end := 1; end < len(whole); end++ {
			for _, reset := range []bool{false, true} {
				for _, mode := range []call.RetryMode{call.RetryNever, call.RetryResume} {
					r := rawWorld(t, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, whole[:end])
						if reset {
							_ = c.SetLinger(0)
						}
						_ = c.Close()
					})
					w := serveBody(r, mode, mode == call.RetryResume, nil)
					if w != nil && w.Code < http.StatusInternalServerError {
						t.Errorf("%s, ends in %q, reset %v, retry %v: status %d, body %q", name, whole[max(end-10, 0):end], reset, mode,
							w.Code, w.Body)
					}
				}
			}
		}
	}
}

// Guards against MIXED: a replica answers a long request early, with a status 200 and no length, and resets the connection in the
// body of its response while the request is still written.
func TestEarlyResponseThatIsResetIsNoResponse(t *testing.T) {
	for _, mode := range []call.RetryMode{call.RetryNever, call.RetryFromStart, call.RetryResume} {
		for _, part := range []string{"", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda"} {
			r := rawWorld(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, lengthless+part)
				time.Sleep(30 * time.Millisecond)
				_ = c.SetLinger(0)
				_ = c.Close()
			})
			w := serveBody(r, mode, mode == call.RetryResume, []byte(strings.Repeat("x", 4<<20)))
			if w != nil && w.Code < http.StatusInternalServerError {
				t.Errorf("retry %v, part %q: status %d, body %q", mode, part, w.Code, w.Body)
			}
		}
	}
}
