package relay

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestSilence checks that after Blackhole an open connection gets no response and is not closed, while a new one works.
func TestSilence(t *testing.T) {
	echo := startEcho(t)
	r := &Relay{Target: netip.MustParseAddrPort(echo.Addr().String())}
	relayAddress, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", relayAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	roundTrip := func(c net.Conn, wait time.Duration) error {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(wait))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	existing := dial()
	defer existing.Close()
	if err := roundTrip(existing, time.Minute); err != nil {
		t.Fatal(err)
	}
	r.Blackhole()
	var timeout net.Error
	if err := roundTrip(existing, 50*time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read on a silent connection returned %v, want a timeout", err)
	}
	c := dial()
	defer c.Close()
	if err := roundTrip(c, time.Minute); err != nil {
		t.Errorf("read on a new connection returned %v", err)
	}
}

// startEcho starts a server that sends back what it gets, until the test ends.
func startEcho(t *testing.T) net.Listener {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { echo.Close() })
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	return echo
}

// Guards against a crash of a server that looks, behind a relay, like the end of a response without a length.
func TestResetIsPassedOn(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() {
		c, err := server.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	r := &Relay{Target: netip.MustParseAddrPort(server.Addr().String())}
	address, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write([]byte("x"))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client reads %v, want a reset", err)
	}
}

func TestRelayRefusesUntilAccept(t *testing.T) {
	r := &Relay{Target: netip.MustParseAddrPort(startEcho(t).Addr().String())}
	address, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write([]byte("x"))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	r.Refuse()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("an open connection reads %v, want a reset", err)
	}
	if _, err := net.Dial("tcp", address.String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v, want it refused", err)
	}
	r.Accept()
	again, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}
