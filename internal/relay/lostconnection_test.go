package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/dialer"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/platform"
)

const lengthless = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n"

// openAt opens an exchange at a server that serves its connection by serve.
func openAt(t *testing.T, body string, control func(network, address string, c syscall.RawConn) error,
	serve func(c *net.TCPConn), extraWait backend.ExtraWait,
) *backend.Exchange {
	t.Helper()
	config := net.ListenConfig{Control: control}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err == nil {
			serve(c.(*net.TCPConn))
		}
	}()
	cl := &call.Call{
		ID: "r1", Method: http.MethodPost, Host: "shop.example", Target: "/x", Body: []byte(body), Received: steady.Now(),
		CallerTimeout: 20 * time.Second, RouteTimeout: 20 * time.Second,
	}
	pool := &backend.Pool{Codec: platform.HeaderCodec{}, Dialer: &dialer.Dialer{}}
	a := &backend.Attempt{
		Replica: replica.Replica{ID: "i", Address: netip.MustParseAddrPort(l.Addr().String())}, TimeLeft: 20 * time.Second,
	}
	x, err := pool.Open(context.Background(), cl, a, time.Second, extraWait)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Abort)
	return x
}

// Failure: a response without length that is reset while the host doesn't read, until after the limit of the silence,
// counts as complete, since looking for unread bytes takes the error from the socket.
func TestResetAfterPauseIsNoEnd(t *testing.T) {
	reset := make(chan bool)
	x := openAt(t, "", nil, func(c *net.TCPConn) {
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		_, _ = io.WriteString(c, lengthless+"id: 1\ndata: a\n\n")
		<-reset
		_ = c.SetLinger(0)
		_ = c.Close()
		reset <- true
	}, func(bool) time.Duration { return time.Second })
	b := make([]byte, 100)
	if n, err := x.Read(b); err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	x.SetMaxSilence(50 * time.Millisecond)
	time.Sleep(100 * time.Millisecond) // the host is paused meanwhile, or the caller reads slowly
	reset <- true
	<-reset
	time.Sleep(50 * time.Millisecond)
	if rest, err := x.ReadAll(context.Background(), &payload.Budget{}, 1<<20); err == nil {
		t.Errorf("the reset response counts as complete, with %q at its end", rest)
	} else {
		t.Log(err)
	}
}

// Failure: a response without length counts as complete if the connection fails because its server can't be reached for
// some time, since the error says that a time-out has passed, and so counts as silence.
func TestLostConnectionIsNoEnd(t *testing.T) {
	x := openAt(t, strings.Repeat("x", 8<<20), func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}, func(c *net.TCPConn) {
		buf := make([]byte, 1024)
		_, _ = c.Read(buf)
		_, _ = io.WriteString(c, lengthless+"id: 1\ndata: a\n\n")
		time.Sleep(15 * time.Second) // reads nothing more, so that sent bytes aren't taken for longer than the limit
		_ = c.Close()
	}, func(bool) time.Duration { return 200 * time.Millisecond })
	began := time.Now()
	body, err := x.ReadAll(context.Background(), &payload.Budget{}, 1<<20)
	if err == nil {
		t.Errorf("the response counts as complete after %v: %q", time.Since(began), body)
	} else {
		t.Log(err, time.Since(began))
	}
}
