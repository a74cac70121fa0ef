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

// NextProto is the protocol name that hosts agree on in the TLS handshake.
const NextProto = "turmericshunt/1"

// Times and sizes of connections between hosts.
const (
	idleTimeout     = 30 * time.Second
	handshakeLimit  = 2 * time.Second
	maxStreams      = 4096
	maxSilentCalls  = 2
	noMoreCallsCode = 0
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen  Kind = "listen"
	KindConnect Kind = "connect" // nothing was sent
	KindBroken  Kind = "broken"  // the peer may have received the message
	KindTimeout Kind = "timeout" // the peer may have received the message
)

// Error is a failure to reach a peer.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Handler answers a peer's message; a nil answer closes the stream without one.
type Handler interface {
	HandlePeer(ctx context.Context, m *protocol.Message) *protocol.Message
}

// Transport exchanges messages with other hosts, one QUIC stream for each question.
type Transport struct {
	Listen  netip.AddrPort
	Server  *tls.Config
	Client  *tls.Config
	Handler Handler

	quic     *quic.Transport
	listener *quic.Listener
	mu       sync.Mutex
	links    map[netip.AddrPort]*link
	sent     atomic.Int64
	received atomic.Int64
}

// Open binds the UDP port, or returns an *Error; it must come before Call and Run.
func (t *Transport) Open() error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.Listen))
	if err != nil {
		return &Error{Op: "open", Kind: KindListen, Err: errors.WithStack(err)}
	}
	t.Listen = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	t.quic = &quic.Transport{Conn: socket}
	t.links = make(map[netip.AddrPort]*link)
	t.listener, err = t.quic.Listen(t.Server, settings())
	if err != nil {
		_ = socket.Close()
		return &Error{Op: "open", Kind: KindListen, Err: errors.WithStack(err)}
	}
	return nil
}

// Run accepts peers until ctx ends, or returns an *Error.
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
		serving.Go(func() { t.serve(ctx, conn) })
	}
}

// Close ends all connections.
func (t *Transport) Close() {
	_ = t.listener.Close()
	_ = t.quic.Close()
	_ = t.quic.Conn.Close()
}

// Call sends m to the host at to and returns its answer, or an *Error.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, m *protocol.Message) (*protocol.Message, error) {
	l := t.link(to)
	conn, err := l.connect(ctx, t)
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindConnect, Err: err}
	}
	answer, err := t.exchange(ctx, conn, m)
	l.observe(conn, err)
	return answer, err
}

// Drop closes the connection to a host that is dead or has restarted, so that calls under way end at once and later
// ones connect anew.
func (t *Transport) Drop(to netip.AddrPort) {
	t.link(to).close()
}

// Traffic returns the bytes of messages sent and received so far.
func (t *Transport) Traffic() (sent, received int64) {
	return t.sent.Load(), t.received.Load()
}

func settings() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeLimit,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

func (t *Transport) serve(ctx context.Context, conn *quic.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(noMoreCallsCode, "stopping") })
	defer stop()
	var answering sync.WaitGroup
	defer answering.Wait()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		answering.Go(func() { t.answer(stream) })
	}
}

func (t *Transport) answer(stream *quic.Stream) {
	defer stream.Close() //nolint:errcheck // the peer sees a missing answer
	question, err := protocol.Read(&counter{stream, &t.received})
	if err != nil {
		stream.CancelRead(noMoreCallsCode)
		return
	}
	// The stream's context ends when the peer gives the question up.
	answer := t.Handler.HandlePeer(stream.Context(), question)
	if answer == nil {
		stream.CancelWrite(noMoreCallsCode)
		return
	}
	_ = protocol.Write(&counter{stream, &t.sent}, answer)
}

func (t *Transport) exchange(ctx context.Context, conn *quic.Conn, m *protocol.Message) (*protocol.Message, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, callError(ctx, "open stream", err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(noMoreCallsCode)
		stream.CancelWrite(noMoreCallsCode)
	})
	defer stop()
	if err := protocol.Write(&counter{stream, &t.sent}, m); err != nil {
		return nil, callError(ctx, "send", err)
	}
	answer, err := protocol.Read(&counter{stream, &t.received})
	if err != nil {
		return nil, callError(ctx, "receive", err)
	}
	_ = stream.Close()
	return answer, nil
}

func callError(ctx context.Context, op string, err error) *Error {
	if ctx.Err() != nil {
		return &Error{Op: op, Kind: KindTimeout, Err: errors.WithStack(ctx.Err())}
	}
	return &Error{Op: op, Kind: KindBroken, Err: err}
}

func (t *Transport) link(to netip.AddrPort) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[to]
	if l == nil {
		l = &link{to: to}
		t.links[to] = l
	}
	return l
}
