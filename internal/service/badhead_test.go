package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
)

// exchangeRaw sends a call to a server that answers with the given bytes and then closes or resets the connection.
func exchangeRaw(t *testing.T, text string, reset bool) (Response, *Error) {
	t.Helper()
	address := listener.Serve(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, text)
		if reset {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	})
	p := &Pool{}
	p.init()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.exchange(ctx, &Call{Method: http.MethodPost, Path: "/"}, protocol.Server{Name: "s", Address: address})
}

// Guards against a server in trouble that answers with an impossible status, which the caller gets as a response.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "abc"} {
		if resp, err := exchangeRaw(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok", false); err == nil || err.Kind != KindBroken {
			t.Errorf("status %s: %d, %v", status, resp.Status, err)
		}
	}
}

// Guards against a server that stops anywhere in the head of its response, of which the caller gets a success.
func TestResponseThatEndsInItsHeadIsNoResponse(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		for end := 1; end < len(whole); end++ {
			for _, reset := range []bool{false, true} {
				if resp, err := exchangeRaw(t, whole[:end], reset); err == nil {
					t.Errorf("%q, reset %v: status %d, body %q", whole[:end], reset, resp.Status, resp.Body)
				}
			}
		}
	}
}

// Guards against a server in trouble that sends header fields without end, which the host keeps until it has no memory left.
func TestHeadWithoutEndIsCut(t *testing.T) {
	const fields = 100_000
	taken := make(chan int, 1)
	address := listener.Serve(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		n := 0
		for err := error(nil); n < fields && err == nil; n++ {
			_, err = fmt.Fprintf(c, "%x:\r\n", n)
		}
		taken <- n
		_ = c.Close()
	})
	p := &Pool{}
	p.init()
	_, err := p.exchange(t.Context(), &Call{Method: http.MethodPost, Path: "/"}, protocol.Server{Name: "s", Address: address})
	if err == nil || err.Kind != KindBroken || !strings.Contains(err.Error(), "header") {
		t.Errorf("error %v, want one that names the header", err)
	}
	<-taken
}
