package backend

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// The number of idle connections that are kept to one server.
	maxIdlePerServer = 8
	// A connection that has been idle for longer carries no call that must not be repeated: it may have gone silent meanwhile,
	// and whether the call has run would then never be known.
	maxIdleUnrepeatable = 500 * time.Millisecond
)

// Dialer connects to the backend server at an address, which is dialer.Dialer. If DialThrough fails, nothing has been sent; it
// connects only through hosts for which passes returns true, through any if that is nil. Answered
// records that a response has come on a connection; MayReuse reports whether an idle one may carry another call; Check reports
// whether a new one can be made in the way of one on which nothing comes.
type Dialer interface {
	DialThrough(ctx context.Context, server netip.AddrPort, passes func(host netip.AddrPort) bool) (netconn.Conn, error)
	Answered(c netconn.Conn, server netip.AddrPort)
	MayReuse(c netconn.Conn, server netip.AddrPort) bool
	Check(c netconn.Conn, server netip.AddrPort) bool
}

// Pool sends calls to backend servers and keeps idle connections for reuse. Codec and Dialer must be set before use.
type Pool struct {
	Codec  Codec
	Dialer Dialer
	// OnDial, if not nil, is called for each new connection.
	OnDial func()

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// Open sends c, on a new connection if c has no ID or a says so, and returns the exchange once the head of the response has
// been read. The server may be silent for maxSilence, until Exchange.SetMaxSilence is called; 0 means no limit. After it,
// extraWait, if not nil, returns how much longer the server may be silent; 0 ends the exchange. Errors are of type *Error.
func (p *Pool) Open(ctx context.Context, c *call.Call, a *Attempt, maxSilence time.Duration,
	extraWait ExtraWait,
) (*Exchange, error) {
	var cn *conn
	if c.ID != "" && !a.NewConnection {
		cn = p.takeIdle(a.Replica.Address, c.RetryMode == call.RetryNever, a.Passes)
	}
	if cn == nil {
		c, err := p.Dialer.DialThrough(ctx, a.Replica.Address, a.Passes)
		if err != nil {
			kind := KindUnreachable
			if ctx.Err() != nil {
				kind = KindCanceled
			}
			return nil, &Error{Op: "connect", Kind: kind, Err: err}
		}
		cn = newConn(c, a.Replica.Address)
		cn.check = func() bool { return p.Dialer.Check(c, a.Replica.Address) }
		if p.OnDial != nil {
			p.OnDial()
		}
	}
	if a.MaySend != nil && !a.MaySend() {
		cn.close()
		return nil, &Error{Op: "send", Kind: KindWithdrawn, Err: errors.New("the server may not get the call any more")}
	}
	x := &Exchange{pool: p, conn: cn, call: c}
	x.SetExtraWait(extraWait)
	x.stopAfterFunc = context.AfterFunc(ctx, cn.abort)
	if err := x.sendAndReadHead(ctx, p.Codec.AppendRequestHead(nil, c, a), maxSilence); err != nil {
		x.Abort()
		return nil, err
	}
	return x, nil
}

// takeIdle removes a usable idle connection to address from the pool and returns it, or nil if there is none. It closes
// those that are no longer usable. With fresh set it leaves those that have been idle for longer than maxIdleUnrepeatable. With
// passes set it takes only a direct one: which host a connection goes through is known to the Dialer alone.
func (p *Pool) takeIdle(address netip.AddrPort, fresh bool, passes func(host netip.AddrPort) bool) *conn {
	now := steady.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 || fresh && now.Sub(list[len(list)-1].idleSince) > maxIdleUnrepeatable {
			p.mu.Unlock()
			return nil
		}
		cn := list[len(list)-1]
		if passes != nil && !cn.net.Direct() {
			p.mu.Unlock()
			return nil
		}
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if p.usable(now, cn) {
			return cn
		}
		cn.close()
	}
}

// usable reports whether an idle connection may carry another call.
func (p *Pool) usable(now time.Time, cn *conn) bool {
	return cn.usable(now) && p.Dialer.MayReuse(cn.net, cn.address)
}

// putIdle adds a connection to the pool. It closes the connection if the pool has maxIdlePerServer idle connections to
// its server already, or if the connection must not stay idle at all.
func (p *Pool) putIdle(cn *conn) {
	cn.idleSince = steady.Now()
	cn.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*conn)
	}
	list := p.idle[cn.address]
	if len(list) >= maxIdlePerServer || cn.maxIdle <= 0 {
		cn.close()
		return
	}
	p.idle[cn.address] = append(list, cn)
}

// CloseIdle closes idle connections that may carry no other call.
func (p *Pool) CloseIdle() {
	now := steady.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, cn := range list {
			if p.usable(now, cn) {
				kept = append(kept, cn)
				continue
			}
			cn.close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
