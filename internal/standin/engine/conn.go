package engine

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// silentConn is a connection that can be made silent: it stays open, but drops all data in both directions.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	done   func() // called by Close
}

// Read reads from the connection. Once the connection is silent, Read discards what arrives and returns only when the
// connection fails or is closed.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. Once the connection is silent, Write discards p and reports success.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the open connections of its listener.
func (c *silentConn) Close() error {
	c.done()
	return c.Conn.Close()
}

// silenceListener is a listener that can make its open connections silent.
type silenceListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*silentConn]bool // accepted connections that are not closed
}

// Accept waits for the next connection and returns it as a *silentConn.
func (l *silenceListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: raw}
	c.done = func() {
		l.mu.Lock()
		delete(l.open, c)
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// silence makes all open connections silent except one, which may be nil.
func (l *silenceListener) silence(except net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if net.Conn(c) != except {
			c.silent.Store(true)
		}
	}
}

// connKey is the context key of the connection that a request came in on.
type connKey struct{}

// withConn returns a context that holds the connection c.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
