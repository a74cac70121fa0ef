package relay

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
)

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
	at, err := r.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", at.String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	answered := func(c net.Conn, patience time.Duration) error {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(patience))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	old := dial()
	defer old.Close()
	if err := answered(old, time.Minute); err != nil {
		t.Fatal(err)
	}
	r.Silence()
	var timeout net.Error
	if err := answered(old, 50*time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("a silent connection gives %v", err)
	}
	c := dial()
	defer c.Close()
	if err := answered(c, time.Minute); err != nil {
		t.Errorf("a new connection gives %v", err)
	}
}
