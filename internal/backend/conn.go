package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/netconn"
)

const (
	readBuffer = 4 << 10 // bytes
	// A body up to this size is written before the answer is read.
	smallBody = 16 << 10 // bytes
	// A connection isn't used again in this time before the server says that it closes it.
	idleMargin = 800 * time.Millisecond
	// How long a connection may be idle if the server doesn't say.
	idleDefault = 4 * time.Second
)

// conn is a connection to one server.
type conn struct {
	net       *net.TCPConn
	reader    *bufio.Reader
	address   netip.AddrPort
	idleSince time.Time
	idleFor   time.Duration
}

func dial(ctx context.Context, address netip.AddrPort, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, Control: netconn.Control, KeepAliveConfig: netconn.KeepAlive}
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	return &conn{net: tcp, reader: bufio.NewReaderSize(tcp, readBuffer), address: address, idleFor: idleDefault}, nil
}

func (c *conn) close() { _ = c.net.Close() }

// usable tells whether an idle connection may carry another call.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleFor && c.reader.Buffered() == 0 && netconn.Quiet(c.net)
}

// noteIdleTime takes the time that the server says it keeps an idle connection.
func (c *conn) noteIdleTime(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil {
			c.idleFor = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}

// write sends head and body. A long body is written beside the reading of the answer, and the returned channel tells
// when that has ended.
func (c *conn) write(head, body []byte) (<-chan error, error) {
	if len(body) <= smallBody {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(c.net)
		return nil, err
	}
	if _, err := c.net.Write(head); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.net.Write(body)
		done <- err
	}()
	return done, nil
}

// discard reads an answer to another call to its end.
func discard(resp *http.Response) error {
	const most = 1 << 20 // bytes
	n, err := io.CopyN(io.Discard, resp.Body, most)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil && n == most {
		return io.ErrShortBuffer
	}
	return err
}
