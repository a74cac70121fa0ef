package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// Holds the connection to one peer and replaces it when it is closed or silent.
type link struct {
	to netip.AddrPort

	mu     sync.Mutex
	conn   *quic.Conn
	dial   *dial
	silent int
}

// One attempt to connect that all waiting calls share.
type dial struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

func (l *link) connect(ctx context.Context, t *Transport) (*quic.Conn, error) {
	l.mu.Lock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	d := l.dial
	if d == nil {
		d = &dial{done: make(chan struct{})}
		l.dial = d
		go l.run(t, d)
	}
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

// The dial outlives the call that began it, so that a short timeout of one call does not fail the others.
func (l *link) run(t *Transport, d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeLimit)
	defer cancel()
	d.conn, d.err = t.quic.Dial(ctx, net.UDPAddrFromAddrPort(l.to), t.Client, settings())
	l.mu.Lock()
	l.dial = nil
	l.conn = d.conn
	l.silent = 0
	l.mu.Unlock()
	close(d.done)
}

// Closes a connection on which several calls in a row got no answer, so that the next call makes a new one.
func (l *link) observe(conn *quic.Conn, err error) {
	var failure *Error
	timeout := errors.As(err, &failure) && failure.Kind == KindTimeout
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	if !timeout {
		l.silent = 0
		return
	}
	l.silent++
	if l.silent >= maxSilentCalls {
		l.conn = nil
		_ = conn.CloseWithError(noMoreCallsCode, "no answer")
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(noMoreCallsCode, "dropped")
		l.conn = nil
	}
}

// Counts the bytes that pass through a stream.
type counter struct {
	stream io.ReadWriter
	bytes  *atomic.Int64
}

func (c *counter) Read(p []byte) (int, error) {
	n, err := c.stream.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
