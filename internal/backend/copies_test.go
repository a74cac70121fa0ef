package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
	"github.com/turmericshunt/turmericshunt/internal/tunnel"
)

// reusingDialer connects directly or, if host is valid, through that host, and allows each connection to be used again.
type reusingDialer struct{ host netip.AddrPort }

func (d reusingDialer) DialThrough(ctx context.Context, server netip.AddrPort, _ func(netip.AddrPort) bool) (netconn.Conn, error) {
	return d.Dial(ctx, server)
}

func (d reusingDialer) Dial(ctx context.Context, server netip.AddrPort) (netconn.Conn, error) {
	if d.host.IsValid() {
		return tunnel.Dial(ctx, netconn.Connect, d.host, server)
	}
	c, err := netconn.Connect(ctx, server)
	return netconn.TCP{TCPConn: c}, err
}
func (reusingDialer) Answered(netconn.Conn, netip.AddrPort)      {}
func (reusingDialer) MayReuse(netconn.Conn, netip.AddrPort) bool { return true }
func (reusingDialer) Check(netconn.Conn, netip.AddrPort) bool    { return true }

// refusalCodec reads status 503 as a refusal before the request was run.
type refusalCodec struct{ minimalCodec }

func (c refusalCodec) DecodeResponseHead(r *http.Response) *ResponseHead {
	h := c.minimalCodec.DecodeResponseHead(r)
	h.NotRun = r.StatusCode == http.StatusServiceUnavailable
	return h
}

func namedResponse(status, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// Guards against a late copy of an earlier refusal that is taken for the answer to the request under way: its caller was told that
// it had not run, or it ran at a second replica.
func TestLateCopyOfRefusalIsNoAnswer(t *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\n\r\n"
	refusal, answer := namedResponse("503 Busy", "first", "busy"), namedResponse("200 OK", "second", "done")
	for name, second := range map[string]string{
		"copy":                    refusal + answer,
		"copy before a 1xx head":  refusal + hints + answer,
		"copy behind a 1xx head":  hints + refusal + answer,
		"copy without body twice": namedResponse("503 Busy", "first", "") + refusal + answer,
	} {
		address := listener.Serve(t, func(c *net.TCPConn) {
			for _, response := range []string{refusal, second} {
				if _, err := c.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
			}
		})
		carrier := &tunnel.Server{
			Connect: reusingDialer{}.Dial, Allowed: func(netip.AddrPort) bool { return true }, Metrics: tally.NoopScope,
		}
		for way, d := range map[string]reusingDialer{"directly": {}, "through a host": {host: listener.Serve(t, carrier.Serve)}} {
			p := &Pool{Codec: refusalCodec{}, Dialer: d}
			dials := 0
			p.OnDial = func() { dials++ }
			for _, id := range []string{"first", "second"} {
				c := &call.Call{ID: id, Method: http.MethodPost, Target: "/", RetryMode: call.RetryNever}
				x, err := p.Open(context.Background(), c, &Attempt{Replica: replica.Replica{Address: address}}, testWait, nil)
				if err != nil {
					t.Fatalf("%s, %s, request %s: %v", name, way, id, err)
				}
				body, err := x.ReadAll(context.Background(), &payload.Budget{}, 1<<10)
				if x.Head.RequestID != id || x.Head.NotRun != (id == "first") || err != nil {
					t.Errorf("%s, %s, request %s: head %+v, body %q, error %v", name, way, id, x.Head, body, err)
				}
				x.Finish()
			}
			if dials != 1 {
				t.Errorf("%s, %s: %d connections, want one", name, way, dials)
			}
		}
	}
}

// Guards against a call that takes an idle connection through a host that must not see it (incident HOME), and against one that
// doesn't take a direct one.
func TestRestrictedCallTakesDirectIdleConnectionOnly(t *testing.T) {
	var requests atomic.Int32
	address := listener.Serve(t, func(c *net.TCPConn) {
		for {
			if _, err := c.Read(make([]byte, 4<<10)); err != nil {
				return
			}
			id := []string{"second", "first"}[requests.Add(1)%2]
			_, _ = io.WriteString(c, namedResponse("200 OK", id, "done"))
		}
	})
	carrier := &tunnel.Server{
		Connect: reusingDialer{}.Dial, Allowed: func(netip.AddrPort) bool { return true }, Metrics: tally.NoopScope,
	}
	for way, d := range map[string]reusingDialer{"directly": {}, "through a host": {host: listener.Serve(t, carrier.Serve)}} {
		p := &Pool{Codec: refusalCodec{}, Dialer: d}
		dials := 0
		p.OnDial = func() { dials++ }
		a := &Attempt{Replica: replica.Replica{Address: address}}
		for _, id := range []string{"first", "second"} {
			c := &call.Call{ID: id, Method: http.MethodPost, Target: "/", RetryMode: call.RetryNever}
			x, err := p.Open(context.Background(), c, a, testWait, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := x.ReadAll(context.Background(), &payload.Budget{}, 1<<10); err != nil {
				t.Fatal(err)
			}
			x.Finish()
			a.Passes = func(netip.AddrPort) bool { return false }
		}
		if want := map[string]int{"directly": 1, "through a host": 2}[way]; dials != want {
			t.Errorf("%s: %d connections, want %d", way, dials, want)
		}
	}
}
