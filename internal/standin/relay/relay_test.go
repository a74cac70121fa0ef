package relay

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestSilence checks that after Blackhole an open connection gets no response and is not closed, while a new one works.
func TestSilence(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
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
