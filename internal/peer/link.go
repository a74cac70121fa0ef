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

// peerConn holds the connection to one peer. It is replaced with a new connection when it is closed or when
// consecutive calls on it time out.
type peerConn struct {
	to netip.AddrPort

	mu       sync.Mutex   // guards the fields below
	conn     *quic.Conn   // nil if there is none
	dial     *dialAttempt // nil if none is in progress
	timeouts int          // consecutive calls on conn that timed out
}

// dialAttempt is an attempt to connect whose result is shared by all calls that wait for a connection.
type dialAttempt struct {
	done chan struct{} // closed when conn and err are set
	conn *quic.Conn
	err  error
}

// connect returns the open connection or opens a new one. It returns an error if dialing fails or ctx ends first.
func (p *peerConn) connect(ctx context.Context, t *Transport) (*quic.Conn, error) {
	p.mu.Lock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		defer p.mu.Unlock()
		return p.conn, nil
	}
	d := p.dial
	if d == nil {
		d = &dialAttempt{done: make(chan struct{})}
		p.dial = d
		go p.runDial(t, d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

// runDial connects to the peer and sets the result of d. It does not use the context of the call that started it, so
// that a short timeout of this call does not fail the other calls that wait for the connection.
func (p *peerConn) runDial(t *Transport, d *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	d.conn, d.err = t.quic.Dial(ctx, net.UDPAddrFromAddrPort(p.to), t.Client, quicConfig())
	p.mu.Lock()
	p.dial = nil
	p.conn = d.conn
	p.timeouts = 0
	p.mu.Unlock()
	close(d.done)
}

// recordResult handles the result of a call on conn. After maxTimeouts consecutive timeouts it closes the connection,
// so that the next call opens a new one.
func (p *peerConn) recordResult(conn *quic.Conn, err error) {
	var failure *Error
	timeout := errors.As(err, &failure) && failure.Kind == KindTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	if !timeout {
		p.timeouts = 0
		return
	}
	p.timeouts++
	if p.timeouts >= maxTimeouts {
		p.conn = nil
		_ = conn.CloseWithError(closeCode, "no answer")
	}
}

// close closes the connection if there is one. The next call opens a new one.
func (p *peerConn) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.CloseWithError(closeCode, "dropped")
		p.conn = nil
	}
}

// countingStream adds the number of bytes that are read from or written to a stream to bytes.
type countingStream struct {
	stream io.ReadWriter
	bytes  *atomic.Int64
}

func (c *countingStream) Read(p []byte) (int, error) {
	n, err := c.stream.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingStream) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
