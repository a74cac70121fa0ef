package netconn

import (
	"net"
	"testing"
	"time"
)

func pair(t *testing.T) (*net.TCPConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := net.Dialer{Control: Control, KeepAliveConfig: KeepAlive}
	c, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close() })
	return c.(*net.TCPConn), s
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error(what)
}

func TestQuiet(t *testing.T) {
	c, s := pair(t)
	if !Quiet(c) {
		t.Error("an idle connection is not quiet")
	}
	if _, err := s.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a connection with unread bytes is quiet", func() bool { return !Quiet(c) })
}

func TestClosedConnectionIsNotQuiet(t *testing.T) {
	c, s := pair(t)
	s.Close()
	eventually(t, "a closed connection is quiet", func() bool { return !Quiet(c) })
}
