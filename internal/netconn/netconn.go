package netconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout ends a connection whose peer acknowledges nothing for so long.
const unackedTimeout = 3 * time.Second

// Control sets TCP_USER_TIMEOUT on a socket before it connects or listens.
func Control(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// KeepAlive probes an idle connection soon enough to notice within a few seconds that its peer is gone.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Quiet tells whether an idle connection is still open and has nothing to read.
func Quiet(c *net.TCPConn) bool {
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
