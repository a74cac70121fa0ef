package netconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
const unackedTimeout = 3 * time.Second

// SetUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects or listens. It is meant for net.Dialer.Control
// and net.ListenConfig.Control.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// KeepAlive is a keep-alive configuration with which an idle connection is closed within a few seconds after its peer
// has stopped responding: it is probed after 2 s without data and closed after two probes, 1 s apart, without response.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// IsIdle reports whether an idle connection is still open and has no data to read. It peeks at the receive buffer
// without blocking or consuming data. Unread data on an idle connection belongs to no request in flight, so the caller
// must not send another request on it.
func IsIdle(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
