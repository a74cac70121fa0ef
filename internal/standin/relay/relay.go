package relay

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// bufferBytes is the size of the copy buffer of one direction of a connection.
const bufferBytes = 32 << 10

// relistenInterval is the pause between two attempts of Accept to listen on the relay's address.
const relistenInterval = 20 * time.Millisecond

// Relay is a TCP proxy that forwards connections to Target. Silence makes the open connections silent, while new ones
// work; Refuse ends them. Target must be set before Listen.
type Relay struct {
	Target netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	pairs    map[*connPair]bool // the open connections, including silent ones
	paused   sync.RWMutex       // held while nothing is forwarded
}

// connPair is a connection from a client and the connection to the server to which it is forwarded.
type connPair struct {
	client net.Conn
	server net.Conn
	silent atomic.Bool // data from either side is discarded
}

// Listen listens on a free port of the loopback address, forwards connections until Close and returns the address on
// which it listens.
func (r *Relay) Listen() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	r.listener = l
	r.pairs = make(map[*connPair]bool)
	go r.acceptLoop(l)
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Blackhole makes all open connections silent: data that is sent over them from then on is discarded. It returns their
// number, which includes connections that were silent before.
func (r *Relay) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
	return len(r.pairs)
}

// Pause forwards nothing for d, as if the server did nothing. Connections are still accepted.
func (r *Relay) Pause(d time.Duration) {
	r.paused.Lock()
	time.AfterFunc(d, r.paused.Unlock)
}

// Refuse resets all open connections but the silent ones, and refuses new ones until Accept.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	r.resetOpen()
}

// Reset resets all open connections but the silent ones; new ones work.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetOpen()
}

// resetOpen resets the open connections but the silent ones. The caller holds mu.
func (r *Relay) resetOpen() {
	for p := range r.pairs {
		if !p.silent.Load() {
			p.reset()
		}
	}
}

// Accept accepts connections again after Refuse. It retries until the address is free.
func (r *Relay) Accept() {
	for !r.relisten() {
		time.Sleep(relistenInterval)
	}
}

// relisten listens on the relay's address again, and reports whether it does so or the relay was closed meanwhile.
func (r *Relay) relisten() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return true
	}
	l, err := net.Listen("tcp", r.listener.Addr().String())
	if err != nil {
		return false
	}
	r.listener = l
	go r.acceptLoop(l)
	return true
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for p := range r.pairs {
		p.close()
	}
}

// acceptLoop accepts connections until the listener is closed. It closes a connection whose server can't be reached.
func (r *Relay) acceptLoop(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.Target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &connPair{client: client, server: server}
		r.mu.Lock()
		r.pairs[p] = true
		r.mu.Unlock()
		go r.forward(p, client, server)
		go r.forward(p, server, client)
	}
}

// forward copies data of p in one direction until one side closes; it passes a reset on as such. While p is silent, it still reads and discards the
// data, so that the sender does not notice the failure.
func (r *Relay) forward(p *connPair, from, to net.Conn) {
	buffer := make([]byte, bufferBytes)
	wasReset := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			wasReset = errors.Is(err, syscall.ECONNRESET)
			break
		}
		if p.silent.Load() {
			continue
		}
		r.paused.RLock()
		r.paused.RUnlock() //nolint:staticcheck // waits for the end of a pause
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	if p.silent.Load() {
		// The other side of a silent connection must not notice that this side has closed its connection.
		_ = from.Close()
		return
	}
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
	if wasReset {
		p.reset()
		return
	}
	p.close()
}

// reset closes both connections so that neither side takes it for the end of a response without a length.
func (p *connPair) reset() {
	_ = p.client.(*net.TCPConn).SetLinger(0)
	_ = p.server.(*net.TCPConn).SetLinger(0)
	p.close()
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}
