package backend

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/duplex"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
)

const (
	readBufSize = 4 << 10 // bytes
	// A body up to this size is written before the response is read. A longer one is written concurrently.
	maxInlineBody = 16 << 10 // bytes
	// Limits of the head of a response, together with the intermediate responses before it. A parsed field takes far more memory
	// than its bytes.
	maxHeadBytes = 64 << 10
	maxHeadLines = 1000
	// A connection isn't reused once less than this time is left before the server closes it as idle.
	idleMargin = 800 * time.Millisecond
	// How long a connection may stay idle if the server sends no Keep-Alive timeout.
	defaultMaxIdle = 4 * time.Second
)

// ExtraWait returns how much longer a server that has been silent may be silent; 0 ends the wait. The argument says whether
// new connections to the server can be made in the same way; if not, the silence says nothing about the server.
type ExtraWait func(reachable bool) time.Duration

// conn is a connection to one server.
type conn struct {
	net       *duplex.Conn
	reader    *bufio.Reader
	address   netip.AddrPort
	idleSince time.Time     // on the boot-time clock
	used      bool          // it has carried an earlier call
	maxIdle   time.Duration // how long it may stay idle; if not positive, it isn't reused

	// Limits of the exchange that uses the connection.
	silentUntil time.Time   // by when something must have come, see Exchange.SetMaxSilence; zero for no limit
	caughtUp    bool        // what had come by silentUntil may be read after it, as the host may have been paused
	headLeft    int         // bytes that may still be read before the final head is complete; -1 for no limit
	linesLeft   int         // lines that may still be read before that; valid with headLeft
	extraWait   ExtraWait   // called at silentUntil, see Exchange.SetExtraWait; nil ends the wait
	check       func() bool // checks whether the way of the connection still leads to the server
	checkedAt   time.Time   // when check was last called
	reachable   bool        // its result
}

// newConn returns a connection to the server at address that has carried no call.
func newConn(c netconn.Conn, address netip.AddrPort) *conn {
	cn := &conn{net: &duplex.Conn{Conn: c}, address: address, maxIdle: defaultMaxIdle, headLeft: -1}
	cn.reader = bufio.NewReaderSize(cn, readBufSize)
	return cn
}

// errHeadTooLong is the error of reading a head that is longer than maxHeadBytes or maxHeadLines.
var errHeadTooLong = errors.Errorf("head longer than %d bytes or %d lines", maxHeadBytes, maxHeadLines)

// limitHead limits what is read from now on to the head of a response.
func (c *conn) limitHead() { c.headLeft, c.linesLeft = maxHeadBytes, maxHeadLines }

// endHead ends the limit of the head.
func (c *conn) endHead() { c.headLeft = -1 }

// catchUpTime is how long a host may read after silentUntil what had come before. A host that was paused needs it.
const catchUpTime = 50 * time.Millisecond

// Read reads from the connection. At silentUntil it asks extraWait for how much longer to wait, and returns the time-out
// error when that says 0. So a pause at any place in a response is treated alike, within an event too.
func (c *conn) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if c.headLeft > 0 {
		b = b[:min(len(b), c.headLeft)]
	}
	n, err := c.readPatiently(b)
	if c.headLeft > 0 {
		c.headLeft -= n
		c.linesLeft -= bytes.Count(b[:n], []byte{'\n'})
		if c.linesLeft <= 0 {
			c.headLeft = 0 // the head may have ended in what was read, before further lines
		}
	}
	return n, err
}

// readPatiently reads from the connection, see Read.
func (c *conn) readPatiently(b []byte) (int, error) {
	for {
		// An error also shows at the read.
		_ = c.net.SetReadDeadline(c.silentUntil)
		n, err := c.net.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.extraWait == nil {
			return n, err
		}
		catchUp, err := c.mayCatchUp()
		if err != nil {
			return 0, err
		}
		if catchUp {
			continue
		}
		wait := c.extraWait(c.isReachable())
		if wait <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		c.setMaxSilence(wait)
	}
}

// reachableTime is how long the result of a check of the way to the server holds.
const reachableTime = 500 * time.Millisecond

// isReachable reports whether the way of the connection still leads to the server.
func (c *conn) isReachable() bool {
	if now := time.Now(); now.Sub(c.checkedAt) >= reachableTime {
		c.reachable = c.check()
		c.checkedAt = time.Now()
	}
	return c.reachable
}

// mayCatchUp reports whether something had come by silentUntil that the host has not read yet, and allows the host to
// read it. It does so once in each wait, so that a server that sends bytes for ever without getting any further counts as
// silent. It returns the error of a connection that has failed.
func (c *conn) mayCatchUp() (bool, error) {
	if c.caughtUp {
		return false, nil
	}
	// A deadline that has passed would keep Readable from looking.
	_ = c.net.SetReadDeadline(time.Time{})
	readable, err := c.net.Readable()
	if err != nil || !readable {
		return false, err
	}
	c.setMaxSilence(catchUpTime)
	c.caughtUp = true
	return true, nil
}

// setMaxSilence sets silentUntil to d from now; 0 means no limit.
func (c *conn) setMaxSilence(d time.Duration) {
	c.silentUntil = time.Time{}
	if d > 0 {
		c.silentUntil = time.Now().Add(d)
	}
	c.caughtUp = false
}

// isTimeout reports whether err says that a deadline has passed.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *conn) close() { _ = c.net.Close() }

// abort resets the connection, so that what was sent arrives no more if it hasn't arrived yet.
func (c *conn) abort() {
	_ = c.net.SetLinger(0)
	c.close()
}

// usable reports whether an idle connection may be used for another call: it hasn't been idle for too long, and the
// server has neither sent anything on it nor closed it.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.maxIdle && c.reader.Buffered() == 0 && netconn.IsIdle(c.net)
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
		_, err := c.net.Write(append(head, body...))
		return nil, err
	}
	if _, err := c.net.Write(head); err != nil {
		return nil, err
	}
	return c.net.StartWrite(body), nil
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
