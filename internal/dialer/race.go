package dialer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/detour"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/tunnel"
	"github.com/turmericshunt/turmericshunt/internal/way"
)

// race is one connection that is tried in several ways, of which the first that succeeds is taken.
type race struct {
	dialer  *Dialer
	server  netip.AddrPort
	ctx     context.Context // ends with the race
	results chan result
}

// result is how one way has ended.
type result struct {
	conn netconn.Conn
	err  error
}

// Dial is as DialThrough, through any host.
func (d *Dialer) Dial(ctx context.Context, server netip.AddrPort) (netconn.Conn, error) {
	return d.DialThrough(ctx, server, nil)
}

// DialThrough connects to a backend server within dialTimeout: directly, unless this host is known not to reach it, and through
// other hosts if that fails or takes long: those for which passes returns true, any if it is nil. Its errors are of type *Error; nothing was sent to the server then.
func (d *Dialer) DialThrough(ctx context.Context, server netip.AddrPort, passes func(host netip.AddrPort) bool) (
	netconn.Conn, error,
) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	r := &race{dialer: d, server: server, ctx: ctx, results: make(chan result)}
	c, err := r.run(&way.Search{Server: server, Hosts: allowedHosts{&d.detours, passes}, Lost: d.paths.Lost(server)})
	if err != nil {
		return nil, &Error{Op: "connect to " + server.String(), Kind: KindUnreachable, Err: err}
	}
	return c, nil
}

// allowedHosts are those hosts of a table for which passes returns true; all of them if it is nil.
type allowedHosts struct {
	table  *detour.Table
	passes func(host netip.AddrPort) bool
}

// Next is as detour.Table.Next.
func (h allowedHosts) Next(now time.Time, server netip.AddrPort, tried []netip.AddrPort) (netip.AddrPort, bool) {
	tried = slices.Clone(tried)
	for {
		host, ok := h.table.Next(now, server, tried)
		if !ok || h.passes == nil || h.passes(host) {
			return host, ok
		}
		tried = append(tried, host)
	}
}

// run returns the connection of the first way that succeeds, or the error of the last one that has failed.
func (r *race) run(search *way.Search) (netconn.Conn, error) {
	var err error
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		now := steady.Now()
		for host, ok := search.Next(now); ok; host, ok = search.Next(now) {
			go r.try(host)
		}
		if search.Over() {
			return nil, err
		}
		next.Reset(search.NextAt().Sub(now))
		select {
		case got := <-r.results:
			if got.err == nil {
				return got.conn, nil
			}
			err = got.err
			search.Failed(steady.Now())
		case <-next.C:
		case <-r.ctx.Done():
			return nil, r.ctx.Err()
		}
	}
}

// try connects through a host or, if that is invalid, directly. A direct connection goes on after the race, so that it becomes
// known whether the server can be reached.
func (r *race) try(host netip.AddrPort) {
	var c netconn.Conn
	var err error
	if host.IsValid() {
		c, err = r.dialer.dialThrough(r.ctx, host, r.server)
	} else {
		c, err = r.dialer.DialDirect(context.Background(), r.server)
	}
	r.finish(c, err)
}

// finish hands over how one way has ended. If the race is over, it closes the connection.
func (r *race) finish(c netconn.Conn, err error) {
	select {
	case r.results <- result{conn: c, err: err}:
	case <-r.ctx.Done():
		if err == nil {
			_ = c.Close()
		}
	}
}

// dialThrough connects to a backend server through another host, and records how that has ended.
func (d *Dialer) dialThrough(ctx context.Context, host, server netip.AddrPort) (netconn.Conn, error) {
	c, err := tunnel.Dial(ctx, d.DialHost, host, server)
	if err == nil {
		d.Metrics.Counter("detours").Inc(1)
		return c, nil
	}
	var failure *tunnel.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case errors.As(err, &failure) && failure.Kind == tunnel.KindServer:
		d.detours.Unreachable(steady.Now(), host, server)
	default:
		d.detours.Failed(steady.Now(), host)
	}
	return nil, err
}
