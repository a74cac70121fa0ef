package relay

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

const bufferBytes = 32 << 10

// Relay passes TCP connections on to Target; open ones can be made silent while new ones work.
type Relay struct {
	Target netip.AddrPort

	listener net.Listener
	mu       sync.Mutex
	open     map[*link]bool
}

// link is a connection from a client and the one to the server behind it.
type link struct {
	client net.Conn
	server net.Conn
	silent atomic.Bool
}

// Open listens on a free port of the loopback address and relays until Close.
func (r *Relay) Open() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	r.listener = l
	r.open = make(map[*link]bool)
	go r.accept()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Silence makes all open connections swallow what is sent over them.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.open {
		l.silent.Store(true)
	}
	return len(r.open)
}

// Close ends the relay and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.open {
		l.close()
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.Target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{client: client, server: server}
		r.mu.Lock()
		r.open[l] = true
		r.mu.Unlock()
		go r.pass(l, client, server)
		go r.pass(l, server, client)
	}
}

// pass copies one direction; a silent link still reads, so that senders notice nothing.
func (r *Relay) pass(l *link, from, to net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		if l.silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	if l.silent.Load() {
		// The other end of a silent connection must not learn that this one has closed.
		_ = from.Close()
		return
	}
	r.mu.Lock()
	delete(r.open, l)
	r.mu.Unlock()
	l.close()
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
