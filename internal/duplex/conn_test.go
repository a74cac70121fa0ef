package duplex

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// scriptedConn is a connection that has ended for its reader, and whose write or look at the receive buffer fails.
type scriptedConn struct {
	net.Conn

	failure error
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }
func (c *scriptedConn) Readable() (bool, error)  { return false, c.failure }
func (c *scriptedConn) Direct() bool             { return true }
func (c *scriptedConn) SetLinger(int) error      { return nil }
func (c *scriptedConn) Write([]byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return 0, c.failure
}

// Guards against the end of a connection that is taken for an orderly one, because another call than the read got its failure.
func TestFailureOfEitherDirectionIsNoEnd(t *testing.T) {
	tests := []struct {
		name string
		use  func(c *Conn)
	}{
		{"write", func(c *Conn) { _, _ = c.Write(nil) }},
		{"write in background", func(c *Conn) { c.StartWrite(nil) }},
		{"look", func(c *Conn) { _, _ = c.Readable() }},
	}
	for _, test := range tests {
		for _, failure := range []error{nil, syscall.ECONNRESET} {
			c := &Conn{Conn: &scriptedConn{failure: failure}}
			test.use(c)
			_, err := c.Read(nil)
			if want := failure; want == nil && !errors.Is(err, io.EOF) || want != nil && !errors.Is(err, want) {
				t.Errorf("%s, failure %v: read returns %v", test.name, failure, err)
			}
		}
	}
}
