//go:build overload

package overload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// Bounds of one crowd in time.
const (
	dialTime = 2 * time.Second
	holdTime = 3 * time.Second // from when all connections were opened until they are closed
)

// A shape sends what one connection of a crowd sends. The connection stays open afterwards without being read.
type shape func(c net.Conn, head string)

// head returns the request line and the header, without the empty line, of a request that the route of path admits.
func head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: quotes.example\r\nRequest-Id: crowd\r\nTimeout-Remaining: 15000\r\n"+
		"Authorization: Bearer demo-key\r\n", method, path)
}

// fields sends n short fields and not the end of the head.
func fields(n int) shape {
	return func(c net.Conn, head string) {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "%x:\r\n", 0x10000+i)
		}
		_, _ = io.WriteString(c, head+b.String())
	}
}

// parsedFields sends n short fields in a head that is complete, and not the body that it announces.
func parsedFields(n int) shape {
	return func(c net.Conn, head string) {
		fields(n)(c, head+"Content-Length: 9\r\n")
		_, _ = io.WriteString(c, "\r\n")
	}
}

// filler is what bodies consist of.
var filler = bytes.Repeat([]byte("x"), 1<<20)

// body sends length bytes, in pieces, of a body that is announced to be one byte longer.
func body(length, piece int) shape {
	return func(c net.Conn, head string) {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, length+1)
		for n, left := 0, length; left > 0; left -= n {
			n = min(piece, left)
			if _, err := c.Write(filler[:n]); err != nil {
				return
			}
		}
	}
}

// chunks sends length bytes of a body in chunks and not its end.
func chunks(length, piece int) shape {
	return func(c net.Conn, head string) {
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
		for n, left := 0, length; left > 0; left -= n {
			n = min(piece, left)
			chunk := net.Buffers{fmt.Appendf(nil, "%x\r\n", n), filler[:n], []byte("\r\n")}
			if _, err := chunk.WriteTo(c); err != nil {
				return
			}
		}
	}
}

// ahead sends n requests without waiting for responses.
func ahead(n int) shape {
	return func(c net.Conn, head string) { _, _ = io.WriteString(c, strings.Repeat(head+"\r\n", n)) }
}

// slowly sends one byte at a time; the head never ends.
func slowly(c net.Conn, head string) {
	for i := 0; i < len(head); i++ {
		if _, err := c.Write([]byte{head[i]}); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// frame sends the beginning of a frame to another host that announces 16 MiB and has a quarter of a MiB.
func frame(c net.Conn, _ string) {
	_, _ = c.Write(append([]byte{1, 0, 0, 0}, make([]byte, 256<<10)...))
}

// crowd opens n connections to target, sends s on each, and closes all after holdTime. The connections come from a few
// addresses that no ordinary caller has.
func crowd(t *testing.T, target netip.AddrPort, n int, s shape, head string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), dialTime+holdTime)
	defer cancel()
	var sent sync.WaitGroup
	for i := range n {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 200, 0, byte(1+i%8))}, Timeout: dialTime}
		c, err := d.DialContext(ctx, "tcp", target.String())
		if err != nil {
			continue // refusing a connection is allowed
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(dialTime + holdTime))
		sent.Go(func() { s(c, head) })
	}
	time.Sleep(holdTime)
	cancel()
}
