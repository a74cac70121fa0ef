package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
)

// Guards against DRAIN and GONE: a request that the host has given up reaches its server later, when a cut between them has ended,
// since a connection that is closed in order delivers first what the server hasn't got.
func TestRequestThatWasGivenUpArrivesNoMore(t *testing.T) {
	for name, giveUp := range map[string]func(cancel context.CancelFunc, x *Exchange){
		"canceled":        func(cancel context.CancelFunc, _ *Exchange) { cancel() },
		"another is used": func(_ context.CancelFunc, x *Exchange) { x.Abort() },
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			result := make(chan error, 1)
			address := listener.Serve(t, func(c *net.TCPConn) {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n"))
				<-read
				_, err := io.Copy(io.Discard, c)
				result <- err
			})
			p := &Pool{Codec: minimalCodec{}, Dialer: slowWriteDialer{}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			x, err := p.Open(ctx, &call.Call{ID: "a", Method: http.MethodPost, Target: "/", Body: make([]byte, maxInlineBody)},
				&Attempt{Replica: replica.Replica{Address: address}}, testWait, nil)
			if err != nil {
				t.Fatal(err)
			}
			giveUp(cancel, x)
			time.Sleep(50 * time.Millisecond)
			close(read)
			if err := <-result; err == nil {
				t.Error("the server has got the request, and then the end of its connection")
			}
			x.Abort()
		})
	}
}
