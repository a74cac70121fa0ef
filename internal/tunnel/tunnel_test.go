package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
)

func connect(ctx context.Context, address netip.AddrPort) (*net.TCPConn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// newServer starts a host that carries tunnels to any address.
func newServer(t *testing.T) (*Server, netip.AddrPort) {
	t.Helper()
	s := &Server{
		Connect: func(ctx context.Context, server netip.AddrPort) (netconn.Conn, error) {
			c, err := connect(ctx, server)
			if err != nil {
				return nil, err
			}
			return netconn.TCP{TCPConn: c}, nil
		},
		Allowed: func(netip.AddrPort) bool { return true },
		Metrics: tally.NoopScope,
	}
	return s, listener.Serve(t, s.Serve)
}

func dial(t *testing.T, host, server netip.AddrPort) *Conn {
	t.Helper()
	c, err := Dial(context.Background(), connect, host, server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a response without a length that looks complete though it isn't: only the end of the server's connection is
// the end of the tunnel.
func TestTunnelEndsAsServerDoes(t *testing.T) {
	const text = "the bytes of the server"
	tests := []struct {
		name string
		end  func(c *net.TCPConn)
		want bool // the end is an orderly one
	}{
		{"closed", func(c *net.TCPConn) { _ = c.Close() }, true},
		{"reset", func(c *net.TCPConn) {
			time.Sleep(50 * time.Millisecond) // a reset discards what has not been read
			_ = c.SetLinger(0)
			_ = c.Close()
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, host := newServer(t)
			c := dial(t, host, listener.Serve(t, func(c *net.TCPConn) {
				_, _ = c.Write([]byte(text))
				test.end(c)
			}))
			got, err := io.ReadAll(c)
			if string(got) != text || (err == nil) != test.want {
				t.Errorf("read %q, error %v", got, err)
			}
		})
	}
}

// Guards against the end of the host between being taken for the end of the server's connection.
func TestLostHostIsNoEnd(t *testing.T) {
	host := listener.Serve(t, func(c *net.TCPConn) {
		if _, err := readHead(c); err != nil {
			return
		}
		_, _ = c.Write(append([]byte{byte(statusConnected)}, append(header(4), "four"...)...))
		_ = c.Close()
	})
	c := dial(t, host, netip.MustParseAddrPort("10.0.0.1:80"))
	got, err := io.ReadAll(c)
	var failure *Error
	if string(got) != "four" || !errors.As(err, &failure) || failure.Kind != KindBroken {
		t.Errorf("read %q, error %v", got, err)
	}
}

// Long data pass unchanged in both directions, and are counted as one tunnel until it is closed.
func TestBytesPassUnchanged(t *testing.T) {
	s, host := newServer(t)
	c := dial(t, host, listener.Serve(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) }))
	sent := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	go func() { _, _ = c.Write(sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%d bytes differ or are missing, error %v", len(sent), err)
	}
	if s.Active() != 1 {
		t.Errorf("%d tunnels", s.Active())
	}
	_ = c.Close()
	for end := time.Now().Add(time.Second); s.Active() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the tunnel goes on after it was closed")
		}
	}
}

// Tunnels that can't be opened say whether the host or the server is the reason.
func TestTunnelThatIsNotOpened(t *testing.T) {
	s, host := newServer(t)
	silent := listener.Serve(t, func(c *net.TCPConn) { time.Sleep(time.Second); _ = c.Close() })
	closing := listener.Serve(t, func(c *net.TCPConn) { _ = c.Close() })
	sound := listener.Serve(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	gone := listener.Serve(t, func(*net.TCPConn) {})
	stopped, stoppedHost := newServer(t)
	stopped.BeginStop()
	s.Allowed = func(server netip.AddrPort) bool { return server != silent }
	s.Connect = func(_ context.Context, server netip.AddrPort) (netconn.Conn, error) {
		return nil, errors.New("unreachable: " + server.String())
	}
	for _, test := range []struct {
		name         string
		host, server netip.AddrPort
		want         Kind
	}{
		{"server unreachable", host, gone, KindServer},
		{"address of no server", host, silent, KindHost},
		{"host of an earlier version", closing, sound, KindHost},
		{"host that stops", stoppedHost, sound, KindHost},
		{"host that waits for the server", silent, sound, KindServer},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		c, err := Dial(ctx, connect, test.host, test.server)
		cancel()
		var failure *Error
		if c != nil || !errors.As(err, &failure) || failure.Kind != test.want {
			t.Errorf("%s: error %v, want kind %s", test.name, err, test.want)
		}
	}
}

// Guards against a request that is sent through a host that stops: an idle tunnel isn't usable once that has begun, and one in
// use goes on to its end.
func TestStoppingHostIsNotUsedAgain(t *testing.T) {
	s, host := newServer(t)
	proceed := make(chan struct{})
	server := listener.Serve(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("a"))
		<-proceed
		_, _ = c.Write([]byte("b"))
		_ = c.Close()
	})
	c := dial(t, host, server)
	var b [1]byte
	if _, err := io.ReadFull(c, b[:]); err != nil || !netconn.IsIdle(c) {
		t.Fatalf("idle: %v, error %v", netconn.IsIdle(c), err)
	}
	s.BeginStop()
	for end := time.Now().Add(time.Second); netconn.IsIdle(c); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the tunnel is still usable")
		}
	}
	close(proceed)
	rest, err := io.ReadAll(c)
	if string(rest) != "b" || err != nil {
		t.Errorf("rest %q, error %v", rest, err)
	}
}

// Guards against a request that reaches an evacuated server through this host: an idle tunnel there isn't usable any more, one
// in use goes on to its end, those to other servers stay usable, and none is opened if the evacuation has begun while the
// connection was made.
func TestTunnelsToEvacuatedServerAreNotUsedAgain(t *testing.T) {
	s, host := newServer(t)
	proceed := make(chan struct{})
	serve := func(c *net.TCPConn) {
		_, _ = c.Write([]byte("a"))
		<-proceed
		_, _ = c.Write([]byte("b"))
		_ = c.Close()
	}
	evacuated, other := listener.Serve(t, serve), listener.Serve(t, serve)
	c, c2 := dial(t, host, evacuated), dial(t, host, other)
	var b [1]byte
	for _, c := range []*Conn{c, c2} {
		if _, err := io.ReadFull(c, b[:]); err != nil || !netconn.IsIdle(c) {
			t.Fatalf("idle: %v, error %v", netconn.IsIdle(c), err)
		}
	}
	for range 2 {
		s.Withdraw(map[netip.AddrPort]bool{evacuated: true})
	}
	for end := time.Now().Add(time.Second); netconn.IsIdle(c); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the tunnel is still usable")
		}
	}
	if !netconn.IsIdle(c2) {
		t.Error("the tunnel to another server isn't usable")
	}
	asked := 0
	s.Allowed = func(netip.AddrPort) bool { // until the connection is there
		asked++
		return asked == 1
	}
	if _, err := Dial(context.Background(), connect, host, evacuated); err == nil {
		t.Error("a tunnel was opened after the evacuation had begun")
	}
	close(proceed)
	for _, c := range []*Conn{c, c2} {
		if rest, err := io.ReadAll(c); string(rest) != "b" || err != nil {
			t.Errorf("rest %q, error %v", rest, err)
		}
	}
}
