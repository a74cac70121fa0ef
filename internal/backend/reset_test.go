package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
)

// slowWriteDialer connects to servers with connections whose second write, that of the body, says late how it has ended.
type slowWriteDialer struct{ err error }

func (d slowWriteDialer) DialThrough(ctx context.Context, server netip.AddrPort, _ func(netip.AddrPort) bool) (netconn.Conn, error) {
	c, err := netconn.Connect(ctx, server)
	return &slowWriteConn{TCP: netconn.TCP{TCPConn: c}, err: d.err}, err
}
func (slowWriteDialer) Answered(netconn.Conn, netip.AddrPort)      {}
func (slowWriteDialer) MayReuse(netconn.Conn, netip.AddrPort) bool { return false }
func (slowWriteDialer) Check(netconn.Conn, netip.AddrPort) bool    { return true }

type slowWriteConn struct {
	netconn.TCP

	err    error
	writes atomic.Int32
}

func (c *slowWriteConn) Write(b []byte) (int, error) {
	if c.writes.Add(1) == 1 {
		return c.TCP.Write(b)
	}
	time.Sleep(200 * time.Millisecond)
	return len(b), c.err
}

// Guards against half a response without a length that looks complete: the write of the body got the reset and says so later
// than the read sees the end of the connection. If the write succeeds, the response is complete.
func TestEndOfConnectionAwaitsBodyWriter(t *testing.T) {
	for _, writeErr := range []error{nil, syscall.ECONNRESET} {
		address := listener.Serve(t, func(c *net.TCPConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\nhalf"))
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		})
		p := &Pool{Codec: minimalCodec{}, Dialer: slowWriteDialer{writeErr}}
		ctx := context.Background()
		c := &call.Call{ID: "a", Method: http.MethodPost, Target: "/", Body: make([]byte, 2*maxInlineBody)}
		x, err := p.Open(ctx, c, &Attempt{Replica: replica.Replica{Address: address}}, testWait, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := x.ReadAll(ctx, &payload.Budget{}, 1<<10)
		if (err == nil) != (writeErr == nil) {
			t.Errorf("write error %v: read %q, error %v", writeErr, body, err)
		}
		x.Abort()
	}
}
