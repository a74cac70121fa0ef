package netconn

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// How long sent data may stay unacknowledged before the kernel closes the connection.
	unackedTimeout = 3 * time.Second
	// The size of the receive buffer of connections that are made. The kernel would let it grow to many times that while
	// this process reads more slowly than the peer sends.
	receiveBufferBytes = 512 << 10
)

// Dialer returns a dialer for connections to servers, hosts and the store: sent data that stays unacknowledged ends them, and
// of what the peer sends the kernel holds little that this process hasn't read.
func Dialer() net.Dialer {
	return net.Dialer{Control: controlOutgoing, KeepAliveConfig: KeepAlive}
}

// Connect opens a TCP connection as Dialer makes them.
func Connect(ctx context.Context, address netip.AddrPort) (*net.TCPConn, error) {
	d := Dialer()
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// controlOutgoing sets the options of a socket before it connects.
func controlOutgoing(network, address string, c syscall.RawConn) error {
	if err := SetUserTimeout(network, address, c); err != nil {
		return err
	}
	return setOption(c, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
}

// SetUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects or listens. It is meant for net.Dialer.Control
// and net.ListenConfig.Control. It isn't for connections of callers: one that reads nothing for a while, and so takes no more
// data, would be cut off, and a longer time would hold for keep-alive probes too, whatever their number.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	return setOption(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
}

// LimitReceiveBuffer sets the receive buffer of a socket before it listens; its connections inherit it. The kernel holds at most twice
// as many bytes that nobody has read.
func LimitReceiveBuffer(c syscall.RawConn, bytes int) error {
	return setOption(c, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// UnreadBytes returns how many bytes the kernel has received on a connection and nobody has read.
func UnreadBytes(c *net.TCPConn) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var ioctlErr error
	if err := raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return 0, err
	}
	return n, ioctlErr
}

func setOption(c syscall.RawConn, level, option, value int) error {
	var optionErr error
	err := c.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return optionErr
}

// KeepAlive is a keep-alive configuration with which an idle connection is closed after unackedTimeout without response of its
// peer: two probes are sent before. On sockets with TCP_USER_TIMEOUT that decides, on others the number of probes.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Conn is a connection whose receive buffer can be looked at.
type Conn interface {
	net.Conn
	// Readable reports what the function Readable reports of the connection.
	Readable() (bool, error)
	// Direct reports whether no other host is between.
	Direct() bool
	// SetLinger with 0 makes Close reset the connection, so that what the peer hasn't got is lost; see net.TCPConn.
	SetLinger(seconds int) error
}

// TCP is a TCP connection as a Conn.
type TCP struct{ *net.TCPConn }

// Readable implements Conn.
func (c TCP) Readable() (bool, error) { return Readable(c.TCPConn) }

// Direct implements Conn.
func (c TCP) Direct() bool { return true }

// IsIdle reports whether an idle connection is still open and has no data to read. Unread data on an idle connection
// belongs to no request in flight, so the caller must not send another request on it.
func IsIdle(c Conn) bool {
	readable, err := c.Readable()
	return err == nil && !readable
}

// FirstByte waits until a connection has data to read and returns the first byte, which it leaves unread. It returns io.EOF if
// the peer has closed the connection.
func FirstByte(c *net.TCPConn) (byte, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return peekErr != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case peekErr != nil:
		return 0, peekErr
	case n == 0:
		return 0, io.EOF
	default:
		return b[0], nil
	}
}

// Readable reports whether a read would return at once, with data or because the peer has closed the connection. It peeks
// at the receive buffer without blocking or consuming data. The error is that of a connection that has failed; the system
// reports it only once, so a later read may see an orderly end.
func Readable(c *net.TCPConn) (bool, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return false, err
	case peekErr == unix.EAGAIN:
		return false, nil
	default:
		return peekErr == nil, peekErr
	}
}
