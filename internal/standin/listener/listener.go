package listener

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// Serve serves each connection in a goroutine of its own until the test ends, and returns the address.
func Serve(t *testing.T, serve func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	l := listen(t)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c.(*net.TCPConn))
		}
	}()
	return address(l)
}

// ServeHTTP serves requests with h until the test ends, and returns the address.
func ServeHTTP(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	l := listen(t)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return address(l)
}

// listen returns a listener that is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func address(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }
