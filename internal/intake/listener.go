package intake

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/account"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
)

const (
	// The receive buffer of a connection. A request that is sent ahead stays in it, so that it bounds what the kernel holds. The kernel
	// holds up to twice as much. With 16 KiB, less than a segment of the loopback interface, a body of 25 KiB took 35 ms.
	windowBytes = 32 << 10
	// How often unread bytes are counted while they could exceed the account.
	countInterval = 100 * time.Millisecond
	// The largest number of bytes that the kernel holds unread for a connection; it gives twice the buffer asked for.
	maxUnreadBytes = 2 * windowBytes
	// Before its unread bytes are counted, no connection takes more than one in assumedParts of an account.
	assumedParts = 16
	// Retry-After of a head for which there is no memory.
	retryNoMemory = time.Second
	// minFieldBytes is the length of the shortest header field with its end.
	minFieldBytes = 3
)

// Limits that connections report to their account.
const (
	LimitHeaderBytes account.Limit = "header_bytes"
	LimitFields      account.Limit = "header_fields"
)

// Limits are those of one request's head.
type Limits struct {
	HeaderBytes int // request line and header at most
	Fields      int // header fields at most; 0 means as many as HeaderBytes allows
}

// Listener accepts callers' connections within the limits of an account. Its exported fields must be set before use.
type Listener struct {
	net.Listener
	Account *account.Account // with OnLimit
	// Limits returns the limits that apply to the next part of a head.
	Limits func() Limits

	mu          sync.Mutex
	connections map[*Conn]bool
	counting    bool
}

// Control sets the receive buffer of a listening socket, which its connections inherit.
func Control(_, _ string, c syscall.RawConn) error { return netconn.LimitReceiveBuffer(c, windowBytes) }

func (l *Listener) limits() Limits {
	limits := l.Limits()
	if limits.Fields == 0 {
		limits.Fields = limits.HeaderBytes / minFieldBytes
	}
	return limits
}

// Accept returns the next connection for which there is room; it closes others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(accepted.(*net.TCPConn)); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// open returns the connection with an entry of the account, nil if there is no room.
func (l *Listener) open(tcp *net.TCPConn) *Conn {
	c := &Conn{TCPConn: tcp, listener: l, inHead: true}
	c.entry = l.Account.Open(c.address(), connBytes, func() { _ = tcp.Close() })
	if c.entry == nil {
		return nil
	}
	if l.add(c) {
		// Its buffer counts as full until it is counted: a crowd fills its buffers sooner than that.
		l.Account.SetUnread(c.entry, min(maxUnreadBytes, l.Account.Bytes/assumedParts))
		l.Account.Shed()
	}
	return c
}

// add adds a connection and reports whether unread bytes could exceed the account; they are counted then.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections == nil {
		l.connections = make(map[*Conn]bool)
	}
	l.connections[c] = true
	short := l.mayExceed()
	if short && !l.counting {
		l.counting = true
		go l.countUnread()
	}
	return short
}

func (c *Conn) address() netip.Addr {
	a, _ := c.RemoteAddr().(*net.TCPAddr)
	if a == nil {
		return netip.Addr{}
	}
	return a.AddrPort().Addr().Unmap()
}

// SetDeadline sets the time at which Accept ends.
func (l *Listener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

// mayExceed reports whether the account would be short if the kernel held as much as it can for each connection.
func (l *Listener) mayExceed() bool {
	held, _ := l.Account.Used()
	return l.Account.Bytes > 0 && held+int64(len(l.connections))*maxUnreadBytes > l.Account.Bytes
}

// countUnread counts unread bytes, and closes connections if the account runs short, until that can't be.
func (l *Listener) countUnread() {
	for {
		time.Sleep(countInterval)
		l.mu.Lock()
		if !l.mayExceed() {
			l.counting = false
			l.mu.Unlock()
			return
		}
		open := make([]*Conn, 0, len(l.connections))
		for c := range l.connections {
			open = append(open, c)
		}
		l.mu.Unlock()
		for _, c := range open {
			if n, err := netconn.UnreadBytes(c.TCPConn); err == nil {
				l.Account.SetUnread(c.entry, int64(n))
			}
		}
		l.Account.Shed()
	}
}

// ConnContext is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState is meant for http.Server.ConnState.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	conn.setState(state)
	if state == http.StateClosed {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.connections, conn)
	}
}

// Handler returns a handler that charges the account for header fields that came with an earlier request, and so weren't counted
// while they were read, before it calls h.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r.Context()); c != nil && !c.chargeParsed(r.Header) {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (c *Conn) chargeParsed(h http.Header) bool {
	fields := 0
	for _, values := range h {
		fields += len(values)
	}
	missing := int64(fields-c.fields) * fieldBytes
	return missing <= 0 || c.charge(missing)
}
