package dialer

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/detour"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/reach"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/tunnel"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	// How long a connection may take to be established, whatever its ways.
	dialTimeout = 400 * time.Millisecond
	// How long a connection may take that checks a path whose server is silent.
	checkTimeout = 200 * time.Millisecond
	// The interval at which Run looks for paths to check.
	checkInterval = 50 * time.Millisecond
)

// Dialer connects to backend servers. It keeps which of them this host can connect to itself, and connects to the others
// through other hosts. Its exported fields must be set before use; Connect, ConnectHost and OnChange may be nil.
type Dialer struct {
	// Connect opens a TCP connection to a backend server; nil for netconn.Connect.
	Connect func(ctx context.Context, address netip.AddrPort) (*net.TCPConn, error)
	// ConnectHost opens a TCP connection to another host; nil for netconn.Connect.
	ConnectHost func(ctx context.Context, address netip.AddrPort) (*net.TCPConn, error)
	// OnChange is called when other backend servers than before can't be reached directly; once in checkInterval at most.
	OnChange func()
	// OnConnect, if not nil, is called with the time that each direct connection to a backend server took.
	OnConnect func(server netip.AddrPort, took time.Duration)
	Log       *eventlog.Log
	Metrics   tally.Scope

	paths   reach.Table
	detours detour.Table
}

// SetServers sets the backend servers.
func (d *Dialer) SetServers(servers []replica.Location) { d.paths.SetServers(servers) }

// SetDetours sets the hosts through which this one can connect to backend servers; see detour.Table.SetHosts.
func (d *Dialer) SetDetours(preferred, others []netip.AddrPort) {
	d.detours.SetHosts(preferred, others)
}

// LostServers returns the backend servers that this host can't connect to directly, in order of address.
func (d *Dialer) LostServers() []netip.AddrPort {
	lost, _ := d.paths.LostServers()
	return lost
}

// ReachesNone reports whether this host can connect to no backend server directly.
func (d *Dialer) ReachesNone() bool { return d.paths.AllLost() }

// Run checks the paths that are due until ctx ends.
func (d *Dialer) Run(ctx context.Context) error {
	reported := 0
	for ctx.Err() == nil {
		d.startChecks()
		if _, version := d.paths.LostServers(); version != reported {
			reported = version
			d.reportChange()
		}
		wait.For(ctx, checkInterval)
	}
	return ctx.Err()
}

// startChecks begins the checks that are due.
func (d *Dialer) startChecks() {
	for _, server := range d.paths.Due(steady.Now()) {
		go func() {
			if c, err := d.DialDirect(context.Background(), server); err == nil {
				_ = c.Close()
			}
		}()
	}
}

// DialHost connects to another host.
func (d *Dialer) DialHost(ctx context.Context, host netip.AddrPort) (*net.TCPConn, error) {
	if d.ConnectHost != nil {
		return d.ConnectHost(ctx, host)
	}
	return netconn.Connect(ctx, host)
}

// DialDirect connects to a backend server without another host between. Its errors are of type *Error.
func (d *Dialer) DialDirect(ctx context.Context, server netip.AddrPort) (netconn.Conn, error) {
	return d.dialDirect(ctx, server, dialTimeout)
}

// DialForOther is as DialDirect, for another host. It doesn't try to reach a server that this host is known not to reach.
func (d *Dialer) DialForOther(ctx context.Context, server netip.AddrPort) (netconn.Conn, error) {
	if d.paths.Lost(server) {
		return nil, &Error{Op: "connect to " + server.String(), Kind: KindUnreachable, Err: errors.New("the path is lost")}
	}
	return d.DialDirect(ctx, server)
}

func (d *Dialer) dialDirect(ctx context.Context, server netip.AddrPort, timeout time.Duration) (netconn.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connect := d.Connect
	if connect == nil {
		connect = netconn.Connect
	}
	began := steady.Now()
	c, err := connect(dialCtx, server)
	if err == nil {
		if d.OnConnect != nil {
			d.OnConnect(server, steady.Now().Sub(began))
		}
		d.connected(server)
		return netconn.TCP{TCPConn: c}, nil
	}
	if ctx.Err() == nil {
		d.failed(server, err)
	}
	return nil, &Error{Op: "connect to " + server.String(), Kind: KindUnreachable, Err: err}
}

// connected records a direct connection.
func (d *Dialer) connected(server netip.AddrPort) {
	if d.paths.Connected(steady.Now(), server) {
		d.Log.Event("path_regained", slog.String("address", server.String()))
	}
}

// failed records a direct connection that could not be made.
func (d *Dialer) failed(server netip.AddrPort, err error) {
	if d.paths.Failed(steady.Now(), server) {
		d.Log.Warn("path_lost", slog.String("address", server.String()), slog.String("error", err.Error()))
	}
	d.startChecks()
}

// reportChange reports a change of the paths that are lost.
func (d *Dialer) reportChange() {
	d.Metrics.Gauge("lost_paths").Update(float64(len(d.LostServers())))
	if d.OnChange != nil {
		d.OnChange()
	}
}

// Answered records that a response has come on a connection of Dial.
func (d *Dialer) Answered(c netconn.Conn, server netip.AddrPort) {
	if c.Direct() {
		d.paths.Answered(steady.Now(), server)
	}
}

// MayReuse reports whether an idle connection goes the way that a new one would: directly, or through another host if the
// server can't be reached directly.
func (d *Dialer) MayReuse(c netconn.Conn, server netip.AddrPort) bool {
	return c.Direct() != d.paths.Lost(server)
}

// Check reports whether the way of a connection on which nothing comes still leads to the server, by the evidence of other
// connections or by a new one.
func (d *Dialer) Check(c netconn.Conn, server netip.AddrPort) bool {
	if t, tunneled := c.(*tunnel.Conn); tunneled {
		return d.checkDetour(t.Host, server)
	}
	switch {
	case d.paths.Lost(server):
		return false
	case d.paths.Evident(steady.Now(), server):
		return true
	}
	check, err := d.dialDirect(context.Background(), server, checkTimeout)
	if err != nil {
		return false
	}
	_ = check.Close()
	return true
}

// checkDetour reports whether a new connection to the server can be made through a host.
func (d *Dialer) checkDetour(host, server netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	check, err := d.dialThrough(ctx, host, server)
	if err != nil {
		return false
	}
	_ = check.Close()
	return true
}
