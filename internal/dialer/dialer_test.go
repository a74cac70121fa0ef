package dialer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
	"github.com/turmericshunt/turmericshunt/internal/tunnel"
)

// path is what new connections of a host to servers do.
type path int32

const (
	pathSound path = iota
	pathHangs
	pathRefuses
)

// directPath is the direct path of a host to servers.
type directPath struct {
	kind           atomic.Int32 // a path
	started, ended atomic.Int32 // direct connections that were begun, and those that were made or have failed
}

func (p *directPath) set(kind path) { p.kind.Store(int32(kind)) }

func (p *directPath) connect(ctx context.Context, address netip.AddrPort) (*net.TCPConn, error) {
	p.started.Add(1)
	defer p.ended.Add(1)
	switch path(p.kind.Load()) {
	case pathHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case pathRefuses:
		return nil, errors.New("refused")
	}
	return netconn.Connect(ctx, address)
}

// newDialer returns the dialer of a host and its direct path to servers.
func newDialer(servers []netip.AddrPort) (*Dialer, *directPath) {
	p := &directPath{}
	d := &Dialer{Log: eventlog.New(io.Discard, "h"), Metrics: tally.NoopScope, Connect: p.connect}
	var located []replica.Location
	for _, s := range servers {
		located = append(located, replica.Location{ID: "i-" + s.String(), Address: s})
	}
	d.SetServers(located)
	return d, p
}

// Guards against requests that wait for the time-out of a direct connection, or for one that is known to fail, while another host
// reaches the server.
func TestDialGoesThroughOtherHost(t *testing.T) {
	server := listener.Serve(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	for _, kind := range []path{pathHangs, pathRefuses} {
		other, otherPath := newDialer([]netip.AddrPort{server})
		carrier := &tunnel.Server{
			Connect: other.DialForOther, Allowed: func(netip.AddrPort) bool { return true }, Metrics: tally.NoopScope,
		}
		host := listener.Serve(t, carrier.Serve)
		d, own := newDialer([]netip.AddrPort{server})
		d.SetDetours(nil, []netip.AddrPort{host})
		own.set(kind)
		for _, wasLost := range []bool{false, true} {
			started := own.started.Load()
			c, err := d.Dial(context.Background(), server)
			if err != nil {
				t.Fatal(err)
			}
			if c.Direct() {
				t.Errorf("path %d: connected directly", kind)
			}
			if !wasLost && kind == pathHangs && own.ended.Load() > 0 {
				t.Errorf("path %d: connected after the direct connection had timed out", kind)
			}
			if wasLost && own.started.Load() > started {
				t.Errorf("path %d: a direct connection was tried though the path is known to be lost", kind)
			}
			if !d.MayReuse(c, server) && d.paths.Lost(server) {
				t.Errorf("path %d: the connection isn't used again while the path is lost", kind)
			}
			_ = c.Close()
			time.Sleep(dialTimeout) // until the direct connection has failed
			if !d.paths.Lost(server) {
				t.Fatalf("path %d isn't lost", kind)
			}
		}
		otherPath.set(pathRefuses)
		if c, err := d.Dial(context.Background(), server); err == nil {
			t.Errorf("path %d: connected through a host that can't: %v", kind, c)
		}
		own.set(pathSound)
		if _, err := d.DialDirect(context.Background(), server); err != nil || d.paths.Lost(server) {
			t.Errorf("path %d is still lost: %v", kind, err)
		}
	}
}

// A silent server is reachable if a new connection in the same way can be made.
func TestCheckOfSilentServer(t *testing.T) {
	server := listener.Serve(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	d, own := newDialer([]netip.AddrPort{server})
	c, err := d.Dial(context.Background(), server)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if !d.Check(c, server) {
		t.Error("a server that was just reached counts as unreachable")
	}
	own.set(pathHangs)
	time.Sleep(600 * time.Millisecond) // until the connection is no evidence any more
	if d.Check(c, server) || !d.paths.Lost(server) {
		t.Error("a server to which connections hang counts as reachable")
	}
	if d.MayReuse(c, server) {
		t.Error("an idle direct connection is used though the path is lost")
	}
}

// Guards against a call that goes through a host that must not see it (incident HOME).
func TestDialLeavesOutHosts(t *testing.T) {
	server := listener.Serve(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	var hosts []netip.AddrPort
	for range 3 {
		other, _ := newDialer([]netip.AddrPort{server})
		carrier := &tunnel.Server{
			Connect: other.DialForOther, Allowed: func(netip.AddrPort) bool { return true }, Metrics: tally.NoopScope,
		}
		hosts = append(hosts, listener.Serve(t, carrier.Serve))
	}
	for allowed := range hosts {
		d, own := newDialer([]netip.AddrPort{server})
		d.SetDetours(hosts[:1], hosts[1:])
		own.set(pathRefuses)
		c, err := d.DialThrough(context.Background(), server, func(host netip.AddrPort) bool { return host == hosts[allowed] })
		if err != nil {
			t.Fatal(err)
		}
		if through := c.(*tunnel.Conn).Host; through != hosts[allowed] {
			t.Errorf("connected through %v, only %v is allowed", through, hosts[allowed])
		}
		_ = c.Close()
		if c, err := d.DialThrough(context.Background(), server, func(netip.AddrPort) bool { return false }); err == nil {
			t.Errorf("connected through %v though no host is allowed", c.(*tunnel.Conn).Host)
		}
	}
}
