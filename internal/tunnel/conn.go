package tunnel

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/netconn"
)

const (
	// FirstByte is the first byte of a tunnel. No other connection between hosts begins with it.
	FirstByte = 'T'

	// The frames of what the server has sent begin with their length, as a big-endian integer of frameHeaderBytes.
	frameHeaderBytes = 2
	frameEnd         = 0      // in place of a length: the server has ended its connection, which had not failed
	frameGoingAway   = 0xFFFF // in place of a length: the host between stops soon
	maxFrameBytes    = 16 << 10
)

// status is the reply to the beginning of a tunnel.
type status byte

const (
	statusConnected   status = 1
	statusUnreachable status = 2 // the server can't be reached
	statusRefused     status = 3 // the host opens no tunnel to this address, or none any more
)

// Conn is a connection to a backend server through another host.
type Conn struct {
	*net.TCPConn                // to the other host
	Host         netip.AddrPort // the other host

	header     [frameHeaderBytes]byte
	headerRead int  // bytes of the next frame's header that have been read
	left       int  // bytes of the frame that have not been read
	ended      bool // the server has ended its connection
	goingAway  bool // the other host stops soon
}

// Dial connects to server through the given host; connect connects to that host. Its errors are of type *Error.
func Dial(ctx context.Context, connect func(ctx context.Context, host netip.AddrPort) (*net.TCPConn, error),
	host, server netip.AddrPort,
) (*Conn, error) {
	op := "open tunnel through " + host.String()
	tcp, err := connect(ctx, host)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindHost, Err: err}
	}
	s, err := open(ctx, tcp, server)
	switch {
	case err != nil:
	case s == statusConnected:
		return &Conn{TCPConn: tcp, Host: host}, nil
	case s == statusUnreachable:
		_ = tcp.Close()
		return nil, &Error{Op: op, Kind: KindServer, Err: errors.New("the host can't reach the server")}
	default:
		err = errors.New("the host opens no tunnel")
	}
	_ = tcp.Close()
	kind := KindHost
	if ctx.Err() != nil {
		kind = KindServer // the host waits for the server
	}
	return nil, &Error{Op: op, Kind: kind, Err: err}
}

// open sends the beginning of a tunnel and returns the reply.
func open(ctx context.Context, tcp *net.TCPConn, server netip.AddrPort) (status, error) {
	stop := context.AfterFunc(ctx, func() { _ = tcp.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	address := server.String()
	head := append([]byte{FirstByte, byte(len(address))}, address...)
	if _, err := tcp.Write(head); err != nil {
		return 0, err
	}
	var reply [1]byte
	if _, err := io.ReadFull(tcp, reply[:]); err != nil {
		return 0, err
	}
	if !stop() {
		return 0, ctx.Err()
	}
	return status(reply[0]), nil
}

// Read reads what the server has sent. It returns io.EOF only if the server has ended its connection, and an *Error if the
// tunnel has failed. Errors of passed deadlines are returned as they are.
func (c *Conn) Read(b []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, broken(err)
}

// readHeader reads the header of the next frame.
func (c *Conn) readHeader() error {
	for c.headerRead < frameHeaderBytes {
		n, err := c.TCPConn.Read(c.header[c.headerRead:])
		c.headerRead += n
		if err != nil {
			return broken(err)
		}
	}
	c.headerRead = 0
	switch length := binary.BigEndian.Uint16(c.header[:]); length {
	case frameEnd:
		c.ended = true
	case frameGoingAway:
		c.goingAway = true
	default:
		c.left = int(length)
	}
	return nil
}

// broken returns the error of a read of the tunnel, whose own end is not the end of the server's connection.
func broken(err error) error {
	if errors.Is(err, io.EOF) {
		return &Error{Op: "read from tunnel", Kind: KindBroken, Err: io.ErrUnexpectedEOF}
	}
	return err
}

// Direct reports that another host is between.
func (c *Conn) Direct() bool { return false }

// Readable reports whether a read would return at once, or the other host stops soon. See netconn.Readable.
func (c *Conn) Readable() (bool, error) {
	if c.left > 0 || c.headerRead > 0 || c.ended || c.goingAway {
		return true, nil
	}
	return netconn.Readable(c.TCPConn)
}
