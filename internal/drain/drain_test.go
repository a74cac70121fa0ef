package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// start serves on a free port and returns the server, its address and the result of Serve.
func start(t *testing.T) (*Server, string, <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{FirstRequestTime: time.Second, HTTP: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
	}}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	return s, l.Addr().String(), ended
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards against requests on accepted connections that are dropped because they are read after the stop has begun.
func TestAcceptedConnectionsAreServed(t *testing.T) {
	s, address, ended := start(t)
	half := dial(t, address)
	_, _ = io.WriteString(half, "GET / HTTP/1.1\r\nHost: h\r\n")
	silent := dial(t, address)
	time.Sleep(20 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	_, _ = io.WriteString(half, "\r\n")
	_, _ = io.WriteString(silent, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for name, c := range map[string]net.Conn{"half a head": half, "no byte": silent} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s was sent before the stop: %v", name, err)
			continue
		}
		if resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s: status %d, closes %v", name, resp.StatusCode, resp.Close)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serve: %v", err)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("the listener is open after the stop")
	}
}

// A connection on which nothing is ever sent delays the stop by FirstRequestTime at most.
func TestSilentConnectionDelaysStopShortly(t *testing.T) {
	s, address, _ := start(t)
	s.FirstRequestTime = 100 * time.Millisecond
	dial(t, address)
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	_ = s.Stop(ctx)
	if took := time.Since(began); took > time.Second {
		t.Errorf("the stop took %v", took)
	}
}

// Stop before Serve ends at once.
func TestStopBeforeServe(t *testing.T) {
	s := &Server{HTTP: &http.Server{}}
	if err := s.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}
