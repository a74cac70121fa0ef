package engine

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// silentConn is a connection that can be made to carry nothing more while it stays open.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	done   func()
}

// Read discards what arrives once the connection is silent.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to send once the connection is silent.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.done()
	return c.Conn.Close()
}

// silenceListener keeps track of open connections.
type silenceListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*silentConn]bool
}

// Accept returns the next connection.
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

// silence makes all open connections but one carry nothing more.
func (l *silenceListener) silence(except net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if net.Conn(c) != except {
			c.silent.Store(true)
		}
	}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
