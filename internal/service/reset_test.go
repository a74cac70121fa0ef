package service

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
)

// Guards against half a response without a length that looks complete: its server was reset while the request's body was still
// being written, and the write got the error.
func TestResetWhileBodyIsWrittenIsNoEnd(t *testing.T) {
	const tries = 20
	for range tries {
		address := listener.Serve(t, func(c *net.TCPConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"))
			time.Sleep(30 * time.Millisecond) // until the body's writer waits
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		p := &Pool{}
		p.init()
		call := &Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 16<<20)}
		resp, err := p.exchange(context.Background(), call, protocol.Server{Name: "s", Address: address})
		if err == nil {
			t.Fatalf("status %d, body %q", resp.Status, resp.Body)
		}
	}
}
