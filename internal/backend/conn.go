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
	readBufSize = 4 << 10 // bytes
	// A body up to this size is written before the response is read. A longer one is written concurrently.
	maxInlineBody = 16 << 10 // bytes
	// A connection isn't reused once less than this time is left before the server closes it as idle.
	idleMargin = 800 * time.Millisecond
	// How long a connection may stay idle if the server sends no Keep-Alive timeout.
	defaultMaxIdle = 4 * time.Second
)

// conn is a connection to one server.
type conn struct {
	tcp       *net.TCPConn
	reader    *bufio.Reader
	address   netip.AddrPort
	idleSince time.Time     // on the boot-time clock
	maxIdle   time.Duration // how long it may stay idle; if not positive, it isn't reused
}

func dial(ctx context.Context, address netip.AddrPort, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, Control: netconn.SetUserTimeout, KeepAliveConfig: netconn.KeepAlive}
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	return &conn{tcp: tcp, reader: bufio.NewReaderSize(tcp, readBufSize), address: address, maxIdle: defaultMaxIdle}, nil
}

func (c *conn) close() { _ = c.tcp.Close() }

// usable reports whether an idle connection may be used for another call: it hasn't been idle for too long, and the
// server has neither sent anything on it nor closed it.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.maxIdle && c.reader.Buffered() == 0 && netconn.IsIdle(c.tcp)
}

// updateMaxIdle sets maxIdle from the timeout in a response's Keep-Alive header, less idleMargin. Without one, maxIdle
// stays as it is.
func (c *conn) updateMaxIdle(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil {
			c.maxIdle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}

// writeRequest sends the head and the body of a request. A body longer than maxInlineBody is written in the background,
// while the response can be read already. In that case the returned channel receives the result of the write once it
// has ended; otherwise it is nil.
func (c *conn) writeRequest(head, body []byte) (<-chan error, error) {
	if len(body) <= maxInlineBody {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(c.tcp)
		return nil, err
	}
	if _, err := c.tcp.Write(head); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.tcp.Write(body)
		done <- err
	}()
	return done, nil
}

// discardBody reads the body of a response to another call to its end. It returns io.ErrShortBuffer if the body has
// limit bytes or more.
func discardBody(resp *http.Response) error {
	const limit = 1 << 20 // bytes
	n, err := io.CopyN(io.Discard, resp.Body, limit)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil && n == limit {
		return io.ErrShortBuffer
	}
	return err
}
