package service

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

const (
	maxAttempts     = 3
	dialTimeout     = time.Second
	maxAnswerBytes  = 16 << 20
	idleConnTimeout = 30 * time.Second
	idlePerServer   = 32
)

type (
	// Call is one call of a plain service.
	Call struct {
		Service    string
		Method     string
		Path       string
		Query      string // raw, without the question mark
		Header     http.Header
		Body       []byte
		Idempotent bool // may be repeated on another server
	}

	// Answer is a server's answer to a Call.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
		Server string // the name of the server that answered
	}
)

// Pool holds the servers of plain services; its fields are set before the first call.
type Pool struct {
	FailureDomain string // of this host, whose servers are preferred
	Region        string // of this host
	// MayRetry takes one retry from the retry budget; nil always allows it.
	MayRetry func() bool
	Seed     uint64 // of the choice between equal servers

	once   sync.Once
	fresh  *http.Transport // a new connection for each call
	kept   *http.Transport // keeps connections open between calls
	update sync.Mutex      // serializes writers of servers
	table  atomic.Pointer[map[string][]*server]
	calls  atomic.Uint64
}

// SetServers replaces the servers of a service; calls under way at a server that is not listed go on.
func (p *Pool) SetServers(service string, servers []protocol.Server) {
	p.update.Lock()
	defer p.update.Unlock()
	known := make(map[protocol.Server]*server)
	for _, s := range p.servers(service) {
		known[s.Server] = s
	}
	list := make([]*server, 0, len(servers))
	for _, s := range servers {
		if known[s] == nil {
			known[s] = &server{Server: s}
		}
		list = append(list, known[s])
	}
	table := make(map[string][]*server)
	if old := p.table.Load(); old != nil {
		maps.Copy(table, *old)
	}
	table[service] = list
	p.table.Store(&table)
}

func (p *Pool) servers(service string) []*server {
	if t := p.table.Load(); t != nil {
		return (*t)[service]
	}
	return nil
}

// Do sends call to a server and returns its answer, or an *Error that says whether a server may have run it.
func (p *Pool) Do(ctx context.Context, call *Call) (Answer, error) {
	p.init()
	servers := p.servers(call.Service)
	if len(servers) == 0 {
		return Answer{}, &Error{Op: "call", Kind: KindNotSent, Err: errors.Errorf("service %q has no server", call.Service)}
	}
	rnd := rand.New(rand.NewPCG(p.Seed, p.calls.Add(1)))
	servers = order(servers, time.Now(), p.FailureDomain, p.Region, rnd)
	return p.try(ctx, call, servers[:min(len(servers), maxAttempts)])
}

// try sends call to servers in turn until one answers or the call must not be sent again.
func (p *Pool) try(ctx context.Context, call *Call, servers []*server) (Answer, error) {
	var failure *Error
	mayHaveRun := false
	for i, s := range servers {
		left := len(servers) - i
		answer, err := p.attempt(ctx, call, s, left)
		if err == nil && (left == 1 || !p.repeatsAnswer(call, answer)) {
			return answer, nil
		}
		if err == nil {
			continue
		}
		failure = err
		mayHaveRun = mayHaveRun || MayHaveRun(err)
		if ctx.Err() != nil || !p.repeats(call, err) {
			break
		}
	}
	if mayHaveRun && !MayHaveRun(failure) {
		failure.Kind = KindBroken
	}
	return Answer{}, failure
}

// repeatsAnswer reports whether call may go to another server because answer says that this one can't serve.
func (p *Pool) repeatsAnswer(call *Call, answer Answer) bool {
	switch answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return call.Idempotent && (p.MayRetry == nil || p.MayRetry())
	default:
		return false
	}
}

// repeats reports whether call may go to another server after err.
func (p *Pool) repeats(call *Call, err *Error) bool {
	switch err.Kind {
	case KindNotSent:
		return true
	case KindRefused:
		return p.MayRetry == nil || p.MayRetry()
	case KindBroken:
		return call.Idempotent && (p.MayRetry == nil || p.MayRetry())
	default:
		return false
	}
}

// attempt sends call to s; an idempotent one leaves time for the attempts that may follow.
func (p *Pool) attempt(ctx context.Context, call *Call, s *server, left int) (Answer, *Error) {
	if deadline, ok := ctx.Deadline(); ok && call.Idempotent && left > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/time.Duration(left))
		defer cancel()
	}
	s.begin()
	answer, err := p.exchange(ctx, call, s.Server)
	canceled := errors.Is(ctx.Err(), context.Canceled)
	s.end(time.Now(), err == nil || err.Kind == KindTooLarge || canceled)
	return answer, err
}
