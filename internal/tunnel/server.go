package tunnel

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/duplex"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
)

const (
	// How long the beginning of a tunnel may take.
	openTimeout = 2 * time.Second
	// How long the other host may take to close a tunnel whose server has ended its connection.
	closeTimeout = 2 * time.Second
	// The maximum number of tunnels through one host.
	maxTunnels = 256
	// The maximum number of connections whose beginning is being read.
	maxOpening = 32
	// Bytes to the server that are copied at once.
	copyBytes = 8 << 10
)

// Server carries the tunnels of other hosts to backend servers. Its exported fields must be set before use.
type Server struct {
	// Connect connects to a backend server directly.
	Connect func(ctx context.Context, server netip.AddrPort) (netconn.Conn, error)
	// Allowed reports whether a tunnel to the given address may be opened: that of a backend server that takes requests.
	Allowed func(server netip.AddrPort) bool
	Metrics tally.Scope

	opening atomic.Int64 // connections whose beginning is being read

	mu       sync.Mutex
	tunnels  map[*carried]bool
	stopping bool
}

// carried is a tunnel through this host.
type carried struct {
	tcp    *net.TCPConn   // to the host that has opened it
	server netip.AddrPort // backend server that it leads to

	closed chan struct{} // closed when the other host has ended the tunnel

	mu        sync.Mutex // held while a frame is written
	ended     bool       // no more frames may be written
	withdrawn bool       // the other host was told not to use the tunnel for new requests
}

// Serve carries one tunnel until either side ends it. The first byte of c must be FirstByte.
func (s *Server) Serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(openTimeout))
	if s.opening.Add(1) > maxOpening {
		s.opening.Add(-1)
		return
	}
	address, err := readHead(c)
	s.opening.Add(-1)
	if err != nil {
		return
	}
	t := &carried{tcp: c, server: address, closed: make(chan struct{})}
	if !s.Allowed(address) || !s.add(t) {
		_, _ = c.Write([]byte{byte(statusRefused)})
		return
	}
	defer s.remove(t)
	direct, err := s.Connect(context.Background(), address)
	if err != nil {
		_, _ = c.Write([]byte{byte(statusUnreachable)})
		return
	}
	server := &duplex.Conn{Conn: direct}
	defer func() { _ = server.Close() }()
	if !s.Allowed(address) { // any more, since the connection has taken time
		_, _ = c.Write([]byte{byte(statusRefused)})
		return
	}
	if _, err := c.Write([]byte{byte(statusConnected)}); err != nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	s.Metrics.Counter("tunnels_carried").Inc(1)
	go t.copyToServer(server)
	t.copyFromServer(server)
}

// readHead reads the beginning of a tunnel and returns the address of the server.
func readHead(c net.Conn) (netip.AddrPort, error) {
	var head [2]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return netip.AddrPort{}, err
	}
	address := make([]byte, head[1])
	if _, err := io.ReadFull(c, address); err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(string(address))
}

// add adds a tunnel, unless the host stops or carries too many.
func (s *Server) add(t *carried) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.tunnels) >= maxTunnels {
		return false
	}
	if s.tunnels == nil {
		s.tunnels = make(map[*carried]bool)
	}
	s.tunnels[t] = true
	return true
}

func (s *Server) remove(t *carried) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// Active returns the number of open tunnels.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// BeginStop opens no more tunnels, and tells the hosts that have opened the others not to use them for new requests.
func (s *Server) BeginStop() {
	s.mu.Lock()
	s.stopping = true
	var open []*carried
	for t := range s.tunnels {
		open = append(open, t)
	}
	s.mu.Unlock()
	for _, t := range open {
		go t.write(header(frameGoingAway))
	}
}

// Withdraw tells the hosts that have opened tunnels to the given servers not to use them for new requests. What is in
// progress there goes on.
func (s *Server) Withdraw(servers map[netip.AddrPort]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		if servers[t.server] {
			go t.withdraw()
		}
	}
}

// withdraw tells the other host, once, not to use the tunnel for new requests.
func (t *carried) withdraw() {
	t.mu.Lock()
	withdrawn := t.withdrawn
	t.withdrawn = true
	t.mu.Unlock()
	if !withdrawn {
		t.write(header(frameGoingAway))
	}
}

func header(length int) []byte { return binary.BigEndian.AppendUint16(nil, uint16(length)) }

// copyToServer copies what the other host sends until that ends, and then closes the server's connection, or resets it if the
// other host has reset its own.
func (t *carried) copyToServer(server netconn.Conn) {
	defer close(t.closed)
	buffer := make([]byte, copyBytes)
	for {
		n, err := t.tcp.Read(buffer)
		if n > 0 {
			if _, writeErr := server.Write(buffer[:n]); writeErr != nil {
				return // what the server has sent may still be read
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = server.SetLinger(0)
			}
			_ = server.Close()
			return
		}
	}
}

// copyFromServer copies what the server sends until its connection ends, and then tells the other host that it has. If the
// connection was broken, it resets that of the other host.
func (t *carried) copyFromServer(server net.Conn) {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := server.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if !t.write(buffer[:frameHeaderBytes+n]) {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			t.write(header(frameEnd))
			t.awaitEnd()
			return
		case err != nil:
			_ = t.tcp.SetLinger(0)
			return
		}
	}
}

// write writes a frame and reports whether that succeeded.
func (t *carried) write(frame []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return false
	}
	_, err := t.tcp.Write(frame)
	t.ended = err != nil
	return err == nil
}

// awaitEnd waits until the other host has closed its connection. If this side closed it while there is unread data, the
// last frames could be lost.
func (t *carried) awaitEnd() {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-t.closed:
	case <-timer.C:
	}
}
