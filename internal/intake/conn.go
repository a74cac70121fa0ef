package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/account"
)

const (
	// What a connection without a request takes: the goroutine that serves it, its buffers and the kernel's structures (18 kB
	// measured with 2,000 connections).
	connBytes = 18 << 10
	// What a header field takes beside its own bytes once net/http has parsed it: an entry of the map, a slice and two strings (70
	// to 110 bytes measured with 1,900 to 20,000 fields).
	fieldBytes = 112
	// Copies of a head's bytes: the text of its fields, and what it was read from.
	headCopies = 2
	// writeTimeout is how long a caller may take no data of a response that the host itself makes.
	writeTimeout = 10 * time.Second
	// How long the response to a head that is refused may take to be written and read, and how many bytes of the request are
	// dropped meanwhile. A connection that is closed with unread bytes is reset, and the caller may not see the response.
	refusalTime    = 100 * time.Millisecond
	refusalDiscard = 256 << 10
)

// Conn is a connection of a caller. It counts the heads of requests while net/http reads them.
type Conn struct {
	*net.TCPConn
	entry    *account.Entry
	listener *Listener

	// Of the head that is being read; used by the goroutine that reads requests, and by ConnState, which that calls.
	inHead    bool
	lineBytes int // of the current line, without the carriage return
	headBytes int
	fields    int
	charged   int64 // bytes that the entry holds for the head
}

// ConnOf returns the connection of a request, nil if it hasn't come through a Listener whose ConnContext its server has.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

type connKey struct{}

// Entry returns the account's entry of the connection, nil for a connection that is nil.
func (c *Conn) Entry() *account.Entry {
	if c == nil {
		return nil
	}
	return c.entry
}

// Read reads from the caller. It returns io.EOF once the head is refused, and has responded then.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.entry.Progress(n)
	if c.inHead && !c.readHead(b[:n]) {
		return 0, io.EOF
	}
	return n, err
}

// readHead counts a part of a head and what may follow it. It reports whether the head is within the limits; if not, it has
// responded.
func (c *Conn) readHead(b []byte) bool {
	if c.entry.Phase() == account.PhaseIdle {
		c.entry.Begin(account.PhaseReceiving)
	}
	fields, length := c.fields, c.headBytes
	for _, x := range b {
		c.headBytes++
		switch {
		case x == '\n' && c.lineBytes == 0 && c.fields > 0:
			c.inHead = false
		case x == '\n':
			c.fields++ // the request line counts too
			c.lineBytes = 0
		case x != '\r':
			c.lineBytes++
		}
		if !c.inHead {
			break
		}
	}
	limits := c.listener.limits()
	switch {
	case c.headBytes > limits.HeaderBytes:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, 0, LimitHeaderBytes)
		return false
	case c.fields > limits.Fields:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, 0, LimitFields)
		return false
	}
	if !c.charge(int64(c.fields-fields)*fieldBytes + int64(c.headBytes-length)*headCopies) {
		c.refuse(http.StatusServiceUnavailable, retryNoMemory, "")
		return false
	}
	return true
}

func (c *Conn) charge(bytes int64) bool {
	if !c.entry.Take(bytes) {
		return false
	}
	c.charged += bytes
	return true
}

// refuse responds to a head that isn't read to its end: its request has not run. If limit isn't empty, it is reported.
func (c *Conn) refuse(status int, retryAfter time.Duration, limit account.Limit) {
	if limit != "" {
		c.listener.Account.OnLimit(limit, c.address())
	}
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: 0\r\nConnection: close\r\n"
	if retryAfter > 0 {
		text += "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(refusalTime))
	// A caller that doesn't read the response gets none.
	_, _ = io.WriteString(c.TCPConn, text+"\r\n")
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.TCPConn, refusalDiscard)
}

// Write writes to the caller. Outside of a request that a replica works on, for which the relay sets the deadline, a caller that
// takes no data for writeTimeout is cut off.
func (c *Conn) Write(b []byte) (int, error) {
	if c.entry.Phase() != account.PhaseWorking {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	n, err := c.TCPConn.Write(b)
	c.entry.Progress(n)
	return n, err
}

// Close closes the connection and gives back what it held.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.entry.Close()
	return err
}

// setState follows net/http: a head is read from the beginning of a connection or the end of a request until the request is
// active.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead = false
	case http.StateIdle:
		c.entry.Give(c.charged)
		c.charged, c.headBytes, c.fields, c.lineBytes, c.inHead = 0, 0, 0, 0, true
		c.entry.Begin(account.PhaseIdle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}
