package replica

import (
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// DefaultDowntime is the time from a crash of a replica until it is back, if Replica.Downtime is 0.
const DefaultDowntime = 3 * time.Second

// relistenInterval is the pause between two attempts to listen again on the address that a crashed replica had.
const relistenInterval = 20 * time.Millisecond

// Listen serves the replica on a free port of the loopback address until Close, and returns the address. Only a replica
// that was started so can crash.
func (p *Replica) Listen() (netip.AddrPort, error) {
	return p.ListenAt(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0))
}

// ListenAt is as Listen, at the given address.
func (p *Replica) ListenAt(address netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	p.connections = make(map[net.Conn]bool)
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute, ConnState: p.trackConnection}
	p.listener = l
	go p.serve(l)
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// serve accepts connections until the listener is closed.
func (p *Replica) serve(l net.Listener) {
	// The error is that of the closed listener.
	_ = p.server.Serve(l)
}

// Close ends a replica that was started with Listen.
func (p *Replica) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	_ = p.server.Close()
}

// trackConnection records the open connections. It keeps those that a fault has taken over from the server.
func (p *Replica) trackConnection(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case state == http.StateClosed:
		delete(p.connections, c)
	case state == http.StateNew && p.down:
		reset(c)
	case state == http.StateNew:
		p.connections[c] = true
	}
}

// reset closes a connection so that the other side doesn't take it for the end of a response without a length.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// crashingPart returns the first part of the request's prompt on which the replica crashes. The last part of a prompt
// never is one.
func (p *Replica) crashingPart(r *http.Request) (string, bool) {
	if p.CrashesOn == nil || p.listener == nil {
		return "", false
	}
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, entry := range parts[:len(parts)-1] {
		if part, _, _ := strings.Cut(strings.TrimSpace(entry), ":"); p.CrashesOn(part) {
			return part, true
		}
	}
	return "", false
}

// crash resets all connections, refuses new ones for the downtime and then makes the replica a new incarnation. It
// records the part of a prompt as the cause. It does nothing while the replica is down.
func (p *Replica) crash(part string) {
	p.mu.Lock()
	if p.down || p.closed {
		p.mu.Unlock()
		return
	}
	p.down = true
	p.Log.addCrash(part) // before a caller can see the crash
	p.reservations = nil
	_ = p.listener.Close()
	for c := range p.connections {
		reset(c)
	}
	clear(p.connections)
	p.mu.Unlock()
	if p.OnCrash != nil {
		p.OnCrash()
	}
	downtime := p.Downtime
	if downtime == 0 {
		downtime = DefaultDowntime
	}
	time.AfterFunc(downtime, p.comeBack)
}

// Down reports whether the replica has crashed and isn't back.
func (p *Replica) Down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// comeBack listens again after a crash. It retries until the address is free.
func (p *Replica) comeBack() {
	for !p.relisten() {
		time.Sleep(relistenInterval)
	}
	if p.OnReturn != nil {
		p.OnReturn()
	}
}

// relisten listens on the address that the replica had before its crash, and reports whether the replica is back or
// was closed meanwhile.
func (p *Replica) relisten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return true
	}
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return false
	}
	p.listener = l
	p.down = false
	p.Restart()
	go p.serve(l)
	return true
}
