package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// NextProto is the ALPN protocol name that hosts negotiate in the TLS handshake.
const NextProto = "turmericshunt/1"

// Limits of connections between hosts, and the code with which they are closed.
const (
	idleTimeout      = 30 * time.Second // a connection without traffic for this long is closed
	handshakeTimeout = 2 * time.Second  // limit of the time to establish a connection
	maxStreams       = 4096             // concurrent streams that a peer may open on a connection
	maxTimeouts      = 2                // consecutive calls that time out before a connection is closed
	closeCode        = 0                // QUIC error code for closing connections and canceling streams
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen  Kind = "listen"
	KindConnect Kind = "connect" // no connection; the message was not sent
	KindBroken  Kind = "broken"  // the connection failed; the peer may have received the message
	KindTimeout Kind = "timeout" // the call's context ended; the peer may have received the message
)

// Error reports that the transport could not listen or that a call of a peer failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Handler handles the messages of peers.
type Handler interface {
	// HandlePeer returns the answer to a peer's message. If it returns nil, the stream is canceled without an answer.
	// ctx ends when the peer cancels its call.
	HandlePeer(ctx context.Context, m *protocol.Message) *protocol.Message
}

// Transport exchanges messages with other hosts. It uses one QUIC connection for each host that it calls and one
// stream for each call.
type Transport struct {
	Listen  netip.AddrPort // UDP address to bind; Open sets it to the bound address
	Server  *tls.Config    // for connections that peers open
	Client  *tls.Config    // for connections to peers
	Handler Handler

	quic     *quic.Transport
	listener *quic.Listener
	mu       sync.Mutex
	conns    map[netip.AddrPort]*peerConn // guarded by mu
	sent     atomic.Int64                 // bytes of messages
	received atomic.Int64                 // bytes of messages
}

// Open binds the UDP port and starts to listen. It must be called before Call and Run. It returns an *Error on
// failure.
func (t *Transport) Open() error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.Listen))
	if err != nil {
		return &Error{Op: "open", Kind: KindListen, Err: errors.WithStack(err)}
	}
	t.Listen = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	t.quic = &quic.Transport{Conn: socket}
	t.conns = make(map[netip.AddrPort]*peerConn)
	t.listener, err = t.quic.Listen(t.Server, quicConfig())
	if err != nil {
		_ = socket.Close()
		return &Error{Op: "open", Kind: KindListen, Err: errors.WithStack(err)}
	}
	return nil
}

// Run accepts connections from peers and serves their calls until ctx ends, and then returns nil. It returns an
// *Error if it can accept no more connections.
func (t *Transport) Run(ctx context.Context) error {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		conn, err := t.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Error{Op: "accept", Kind: KindListen, Err: errors.WithStack(err)}
		}
		serving.Go(func() { t.serveConn(ctx, conn) })
	}
}

// Close closes all connections and the UDP socket.
func (t *Transport) Close() {
	_ = t.listener.Close()
	_ = t.quic.Close()
	_ = t.quic.Conn.Close()
}

// Call sends m to the host at the address to and returns its answer. It connects to the host first if there is no
// open connection. All errors are of type *Error.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, m *protocol.Message) (*protocol.Message, error) {
	p := t.peerConn(to)
	conn, err := p.connect(ctx, t)
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindConnect, Err: err}
	}
	answer, err := t.roundTrip(ctx, conn, m)
	p.recordResult(conn, err)
	return answer, err
}

// CloseConn closes the connection to a host that is dead or has restarted, so that calls in progress fail at once and
// later calls open a new connection.
func (t *Transport) CloseConn(to netip.AddrPort) {
	t.peerConn(to).close()
}

// Traffic returns the total number of bytes of messages that were sent and received.
func (t *Transport) Traffic() (sent, received int64) {
	return t.sent.Load(), t.received.Load()
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// serveConn serves the calls on a connection that a peer opened until the connection is closed or ctx ends.
func (t *Transport) serveConn(ctx context.Context, conn *quic.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(closeCode, "stopping") })
	defer stop()
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		streams.Go(func() { t.serveStream(stream) })
	}
}

// serveStream reads a message from a stream, passes it to the Handler and writes the answer.
func (t *Transport) serveStream(stream *quic.Stream) {
	defer stream.Close() //nolint:errcheck // on failure the peer gets no answer and its call fails
	request, err := protocol.Read(&countingStream{stream, &t.received})
	if err != nil {
		stream.CancelRead(closeCode)
		return
	}
	// The stream's context ends when the peer cancels its call.
	answer := t.Handler.HandlePeer(stream.Context(), request)
	if answer == nil {
		stream.CancelWrite(closeCode)
		return
	}
	_ = protocol.Write(&countingStream{stream, &t.sent}, answer)
}

// roundTrip sends m on a new stream of conn and returns the answer. All errors are of type *Error.
func (t *Transport) roundTrip(ctx context.Context, conn *quic.Conn, m *protocol.Message) (*protocol.Message, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, callError(ctx, "open stream", err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(closeCode)
		stream.CancelWrite(closeCode)
	})
	defer stop()
	if err := protocol.Write(&countingStream{stream, &t.sent}, m); err != nil {
		return nil, callError(ctx, "send", err)
	}
	answer, err := protocol.Read(&countingStream{stream, &t.received})
	if err != nil {
		return nil, callError(ctx, "receive", err)
	}
	_ = stream.Close()
	return answer, nil
}

// callError returns the error of a failed call: KindTimeout if ctx has ended, else KindBroken.
func callError(ctx context.Context, op string, err error) *Error {
	if ctx.Err() != nil {
		return &Error{Op: op, Kind: KindTimeout, Err: errors.WithStack(ctx.Err())}
	}
	return &Error{Op: op, Kind: KindBroken, Err: err}
}

// peerConn returns the peerConn for an address and creates it if there is none yet.
func (t *Transport) peerConn(to netip.AddrPort) *peerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.conns[to]
	if p == nil {
		p = &peerConn{to: to}
		t.conns[to] = p
	}
	return p
}
