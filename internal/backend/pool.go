package backend

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	dialTimeout    = 400 * time.Millisecond
	maxIdlePerHost = 8
)

// Pool sends calls and keeps idle connections; Codec must be set before use.
type Pool struct {
	Codec Codec
	// Dialed is called for each new connection, if set.
	Dialed func()

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// Open sends c and returns the exchange once the head of its answer has come. Nothing may come for silence before that.
// After that, patience, if it isn't nil, says how much longer. Errors are of type *Error.
func (p *Pool) Open(ctx context.Context, c *call.Call, a *Attempt, silence time.Duration,
	patience func() time.Duration,
) (*Exchange, error) {
	cn := p.take(a.Replica.Address)
	if cn == nil {
		var err error
		cn, err = dial(ctx, a.Replica.Address, dialTimeout)
		if err != nil {
			kind := KindUnreachable
			if ctx.Err() != nil {
				kind = KindCanceled
			}
			return nil, &Error{Op: "connect", Kind: kind, Err: err}
		}
		if p.Dialed != nil {
			p.Dialed()
		}
	}
	x := &Exchange{Patience: patience, pool: p, conn: cn, call: c}
	x.stop = context.AfterFunc(ctx, cn.close)
	if err := x.start(ctx, p.Codec.AppendHead(nil, c, a), silence); err != nil {
		x.Abort()
		return nil, err
	}
	return x, nil
}

// take returns an idle connection that may be used, or nil.
func (p *Pool) take(address netip.AddrPort) *conn {
	now := steady.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		cn := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if cn.usable(now) {
			return cn
		}
		cn.close()
	}
}

func (p *Pool) put(cn *conn) {
	cn.idleSince = steady.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*conn)
	}
	list := p.idle[cn.address]
	if len(list) >= maxIdlePerHost || cn.idleFor <= 0 {
		cn.close()
		return
	}
	p.idle[cn.address] = append(list, cn)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := steady.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.idleSince) < cn.idleFor {
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
