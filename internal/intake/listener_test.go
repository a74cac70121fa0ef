package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/account"
)

// Guards against heads that are counted wrongly: too long ones and those without memory are refused with a true status, whether
// they come alone or were sent ahead, bodies and later requests on the connection don't count as fields, and nothing stays
// charged.
func TestHeads(t *testing.T) {
	a := &account.Account{Bytes: 64 << 10, OnLimit: func(account.Limit, netip.Addr) {}}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{Listener: tcp, Account: a, Limits: func() Limits { return Limits{HeaderBytes: 8 << 10, Fields: 1000} }}
	server := &http.Server{ConnState: l.ConnState, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(
		func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	request := func(fields int, body string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", len(body), strings.Repeat("a:\r\n", fields), body)
	}
	for name, test := range map[string]struct {
		requests []string
		want     int // status of the last
	}{
		"ordinary":              {[]string{request(10, "x")}, http.StatusOK},
		"lines in bodies":       {[]string{request(10, strings.Repeat("\n", 4000)), request(10, "")}, http.StatusOK},
		"many fields":           {[]string{request(1000, "")}, http.StatusRequestHeaderFieldsTooLarge},
		"long head":             {[]string{request(10, "")[:20] + strings.Repeat("x", 9<<10) + "\r\n\r\n"}, http.StatusRequestHeaderFieldsTooLarge},
		"no memory":             {[]string{request(600, "")}, http.StatusServiceUnavailable},
		"no memory, sent ahead": {[]string{request(10, "") + request(700, "")}, http.StatusServiceUnavailable},
	} {
		c, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		r := bufio.NewReader(c)
		got := 0
		for _, text := range test.requests {
			_, _ = io.WriteString(c, text)
			for range strings.Count(text, "POST") {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				got = resp.StatusCode
			}
		}
		if got != test.want {
			t.Errorf("%s: status %d, want %d", name, got, test.want)
		}
		c.Close()
		awaitNoEntry(t, a) // what the server still holds for this connection would be missing for the next
	}
}

// awaitNoEntry waits until the account has no entry.
func awaitNoEntry(t *testing.T, a *account.Account) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		_, open := a.Used()
		if open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d entries are open at the end", open)
		}
	}
}

// BenchmarkRequest compares a server behind a Listener with one without: time and allocations of a request on a connection that is
// kept, by the length of its body.
func BenchmarkRequest(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		for _, length := range []int{100, 25 << 10, 1 << 20, 4 << 20} {
			b.Run(fmt.Sprintf("bounded=%t/body=%d", bounded, length), func(b *testing.B) {
				config := net.ListenConfig{}
				h := http.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
				}))
				server := &http.Server{Handler: h}
				if bounded {
					config.Control = Control
				}
				tcp, err := config.Listen(b.Context(), "tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				if bounded {
					l := &Listener{Listener: tcp, Account: &account.Account{Bytes: 64 << 20}, Limits: func() Limits { return Limits{HeaderBytes: 8 << 10} }}
					server.ConnState, server.ConnContext, server.Handler, tcp = l.ConnState, ConnContext, Handler(h), l
				}
				go func() { _ = server.Serve(tcp) }()
				defer server.Close()
				body := strings.Repeat("x", length)
				b.ReportAllocs()
				for b.Loop() {
					resp, err := http.Post("http://"+tcp.Addr().String(), "text/plain", strings.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					resp.Body.Close()
				}
			})
		}
	}
}
