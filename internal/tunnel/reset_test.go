package tunnel

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
)

// Guards against half a response that looks complete: a server that is reset while the host between writes to it has not ended
// its connection. The system reports the reset once, to the write or to the read.
func TestResetWhileServerIsWrittenToIsNoEnd(t *testing.T) {
	const tries = 20
	for range tries {
		_, host := newServer(t)
		server := listener.Serve(t, func(c *net.TCPConn) {
			_, _ = c.Write([]byte("half"))
			time.Sleep(30 * time.Millisecond) // until the host between waits for the server to read
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		c := dial(t, host, server)
		go func() { _, _ = c.Write(make([]byte, 16<<20)) }()
		got, err := io.ReadAll(c)
		_ = c.Close()
		if err == nil {
			t.Fatalf("read %q, and the end of the server's connection", got)
		}
	}
}

// Guards against a request that reaches its server although the host that sent it has given it up: the host between has read it
// and closes the server's connection in order.
func TestResetOfTunnelResetsServer(t *testing.T) {
	_, host := newServer(t)
	read, result := make(chan struct{}), make(chan error, 1)
	server := listener.Serve(t, func(c *net.TCPConn) {
		<-read
		_, err := io.Copy(io.Discard, c)
		result <- err
	})
	c := dial(t, host, server)
	if _, err := c.Write(make([]byte, 4<<10)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	close(read)
	if err := <-result; err == nil {
		t.Error("the server has got what was sent, and then the end of its connection")
	}
}
