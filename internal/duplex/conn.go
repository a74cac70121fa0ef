package duplex

import (
	"io"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/netconn"
)

// Conn is a connection whose reads return io.EOF only if neither direction has failed. A read at the end of the connection waits
// for the write in progress.
type Conn struct {
	netconn.Conn

	writing sync.Mutex // held during a write

	written atomic.Int64 // bytes that the system has taken

	mu      sync.Mutex
	failure error // first error that the system has reported; nil before
}

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		c.record(err)
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, io.EOF
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.write(b)
}

// StartWrite writes to the connection in the background. The channel receives the result. Reads that begin later see the end of
// the connection only after the write.
func (c *Conn) StartWrite(b []byte) <-chan error {
	c.writing.Lock()
	done := make(chan error, 1)
	go func() {
		defer c.writing.Unlock()
		_, err := c.write(b)
		done <- err
	}()
	return done
}

func (c *Conn) write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	c.record(err)
	return n, err
}

// Written returns the number of bytes that were written to the connection.
func (c *Conn) Written() int64 { return c.written.Load() }

// Readable implements netconn.Conn.
func (c *Conn) Readable() (bool, error) {
	readable, err := c.Conn.Readable()
	c.record(err)
	return readable, err
}

// record keeps the first failure of the connection. A deadline that has passed is none.
func (c *Conn) record(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}
