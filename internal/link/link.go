package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/netconn"
)

const (
	dialTimeout = 500 * time.Millisecond
	// Messages that wait for a slow peer.
	queueLength = 256
	maxFrame    = 16 << 20 // bytes
	headerSize  = 4        // bytes of a frame's length
	readBuffer  = 2 << 10  // bytes
	// A peer that takes nothing for so long is given up.
	writeTimeout = 2 * time.Second
	// A peer that sends nothing for so long is given up.
	readTimeout = 8 * time.Second
)

// Link is a connection to another entry host.
type Link struct {
	net    net.Conn
	out    chan []byte
	closed chan struct{}
	once   sync.Once
	err    error
}

// Dial connects to the host at address.
func Dial(ctx context.Context, address netip.AddrPort) (*Link, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: netconn.Control, KeepAliveConfig: netconn.KeepAlive}
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindBroken, Err: err}
	}
	return New(c), nil
}

// New makes a link of an open connection.
func New(c net.Conn) *Link {
	return &Link{net: c, out: make(chan []byte, queueLength), closed: make(chan struct{})}
}

// Send queues a message; a link whose queue is full is closed.
func (l *Link) Send(m *Message) {
	payload, err := cbor.Marshal(m)
	if err != nil {
		l.fail(&Error{Op: "encode", Kind: KindInvalid, Err: err})
		return
	}
	frame := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	select {
	case l.out <- append(frame, payload...):
	default:
		l.fail(&Error{Op: "send", Kind: KindSlow, Err: errors.New("queue is full")})
	}
}

// Close ends the link.
func (l *Link) Close() { l.fail(&Error{Op: "close", Kind: KindBroken, Err: net.ErrClosed}) }

// Closed tells whether the link has ended.
func (l *Link) Closed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *Link) fail(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.closed)
		_ = l.net.Close()
	})
}

// Run calls handle with each message, in order, until the link ends; it returns why.
func (l *Link) Run(handle func(m *Message)) error {
	go l.write()
	reader := bufio.NewReaderSize(l.net, readBuffer)
	for {
		m, err := l.read(reader)
		if err != nil {
			l.fail(err)
			return l.err
		}
		handle(m)
	}
}

func (l *Link) read(reader *bufio.Reader) (*Message, error) {
	// A failure shows at the read that follows.
	_ = l.net.SetReadDeadline(time.Now().Add(readTimeout))
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, &Error{Op: "read", Kind: KindBroken, Err: err}
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return nil, &Error{Op: "read", Kind: KindInvalid, Err: errors.Errorf("frame of %d bytes", size)}
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, &Error{Op: "read", Kind: KindBroken, Err: err}
	}
	m, err := Decode(payload)
	if err != nil {
		return nil, err
	}
	return m, nil
}

// Decode decodes the payload of a frame; its errors are of KindInvalid.
func Decode(payload []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(payload, m); err != nil {
		return nil, &Error{Op: "decode", Kind: KindInvalid, Err: err}
	}
	return m, nil
}

func (l *Link) write() {
	for {
		select {
		case <-l.closed:
			return
		case frame := <-l.out:
			_ = l.net.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := l.net.Write(frame); err != nil {
				l.fail(&Error{Op: "write", Kind: KindBroken, Err: err})
				return
			}
		}
	}
}
