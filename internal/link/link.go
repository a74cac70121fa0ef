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
)

const (
	dialTimeout = 500 * time.Millisecond
	// The maximum number of messages that wait to be written to a slow peer.
	queueLength = 256
	// The maximum length of a frame's payload.
	maxFrameBytes = 16 << 20
	// The length of a frame's header, which is the length of the payload as a big-endian integer.
	headerBytes = 4
	// The bytes of a newcomer's frame that are read at first. The memory for more grows with what has come.
	newcomerBytes = 64 << 10
	// The size of the read buffer of a link.
	readBufferBytes = 2 << 10
	// The link is closed if writing one frame takes longer than this.
	writeTimeout = 2 * time.Second
	// The link is closed if reading the next frame, including the wait for it, takes longer than this.
	readTimeout = 8 * time.Second
)

// Newcomer counts what a connection holds on which no valid message has come, which is *account.Entry.
type Newcomer interface {
	Take(bytes int64) bool
	Close()
}

// Link is a connection to another entry host.
type Link struct {
	// Newcomer, if not nil, counts the first frame, and is closed once its message has been decoded. It must be set before Run.
	Newcomer Newcomer

	conn   net.Conn
	queue  chan []byte   // frames to write
	closed chan struct{} // closed when the link ends
	once   sync.Once     // guards the end of the link
	err    error         // why the link ended; set before closed is closed
}

// Dial connects to the host at address by connect. Its errors are of KindBroken.
func Dial(ctx context.Context, connect func(context.Context, netip.AddrPort) (*net.TCPConn, error), address netip.AddrPort,
) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := connect(ctx, address)
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindBroken, Err: err}
	}
	return New(c), nil
}

// New returns a link over an open connection. Nothing is read or written until Run is called.
func New(c net.Conn) *Link {
	return &Link{conn: c, queue: make(chan []byte, queueLength), closed: make(chan struct{})}
}

// Send queues a message without waiting. If the queue is full or the message can't be encoded, it closes the link.
func (l *Link) Send(m *Message) {
	payload, err := cbor.Marshal(m)
	if err != nil {
		l.fail(&Error{Op: "encode", Kind: KindInvalid, Err: err})
		return
	}
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	select {
	case l.queue <- append(frame, payload...):
	default:
		l.fail(&Error{Op: "send", Kind: KindSlow, Err: errors.New("send queue is full")})
	}
}

// Close closes the link.
func (l *Link) Close() { l.fail(&Error{Op: "close", Kind: KindBroken, Err: net.ErrClosed}) }

// Closed reports whether the link has ended.
func (l *Link) Closed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// fail closes the link because of err, unless it has ended already.
func (l *Link) fail(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.closed)
		_ = l.conn.Close()
	})
}

// Run writes the queued messages and calls handle with each message received, in order, until the link ends. It returns
// the error that ended the link.
func (l *Link) Run(handle func(m *Message)) error {
	go l.write()
	reader := bufio.NewReaderSize(l.conn, readBufferBytes)
	for {
		m, err := l.read(reader)
		if err != nil {
			l.fail(err)
			return l.err
		}
		if l.Newcomer != nil {
			l.Newcomer.Close()
			l.Newcomer = nil
		}
		handle(m)
	}
}

// read reads and decodes the next message.
func (l *Link) read(reader *bufio.Reader) (*Message, error) {
	// If this fails, the read that follows fails too.
	_ = l.conn.SetReadDeadline(time.Now().Add(readTimeout))
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, &Error{Op: "read", Kind: KindBroken, Err: err}
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return nil, &Error{Op: "read", Kind: KindInvalid, Err: errors.Errorf("frame too long: %d bytes", size)}
	}
	payload, err := l.readPayload(reader, int(size))
	if err != nil {
		return nil, err
	}
	m, err := Decode(payload)
	if err != nil {
		return nil, err
	}
	return m, nil
}

// readPayload reads the payload of a frame. A newcomer's is read in steps, each twice the one before, so that it takes memory for what
// has come and not for what it announces.
func (l *Link) readPayload(reader io.Reader, size int) ([]byte, error) {
	step := size
	if l.Newcomer != nil {
		step = min(size, newcomerBytes)
	}
	payload := make([]byte, 0, step)
	for {
		if l.Newcomer != nil && !l.Newcomer.Take(int64(step-len(payload))) {
			return nil, &Error{Op: "read", Kind: KindInvalid, Err: errors.New("no memory for the first frame")}
		}
		n, err := io.ReadFull(reader, payload[len(payload):step])
		payload = payload[:len(payload)+n]
		if err != nil {
			return nil, &Error{Op: "read", Kind: KindBroken, Err: err}
		}
		if len(payload) == size {
			return payload, nil
		}
		step = min(2*step, size)
		payload = append(make([]byte, 0, step), payload...)
	}
}

// Decode decodes the payload of a frame. Its errors are of KindInvalid.
func Decode(payload []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(payload, m); err != nil {
		return nil, &Error{Op: "decode", Kind: KindInvalid, Err: err}
	}
	return m, nil
}

// write writes the queued frames until the link ends.
func (l *Link) write() {
	for {
		select {
		case <-l.closed:
			return
		case frame := <-l.queue:
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := l.conn.Write(frame); err != nil {
				l.fail(&Error{Op: "write", Kind: KindBroken, Err: err})
				return
			}
		}
	}
}
