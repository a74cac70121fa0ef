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
	maxAttempts      = 3 // servers that a call tries
	dialTimeout      = time.Second
	maxResponseBytes = 16 << 20 // of a response body
	maxHeaderBytes   = 64 << 10 // of the header of a response
)

type (
	// Call is a call to a plain service.
	Call struct {
		Service    string
		Method     string
		Path       string
		Query      string // encoded, without the question mark
		Header     http.Header
		Body       []byte
		Idempotent bool // may be retried on another server, even if one may have run it
	}

	// Response is the response of a server to a Call.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
		Server string // name of the server that sent the response
	}
)

// Pool holds the backend servers of plain services and sends calls to them. Its exported fields must be set before the
// first call.
type Pool struct {
	FailureDomain string // of this host; servers in it are preferred
	Region        string // of this host; servers in it are preferred to those in other regions
	// TakeRetry takes one retry from the retry budget and reports whether the budget allowed it. If it is nil, retries are
	// not limited by a budget.
	TakeRetry func() bool
	Seed      uint64 // of the random choice between servers that are equal otherwise

	once sync.Once
	// transport opens a new connection for each call. On a kept one, a late second copy of an earlier response would be
	// taken for the response to the call, since responses of plain services name no call, and net/http would by itself
	// send a request again if the connection breaks, even a POST if it has an idempotency key.
	transport *http.Transport
	updateMu  sync.Mutex                           // serializes SetServers
	table     atomic.Pointer[map[string][]*server] // servers by the name of their service
	calls     atomic.Uint64                        // number of calls; part of the random seed of each call
}

// SetServers replaces the servers of a service. A server that stays keeps its recorded health. Calls in progress at a
// server that is no longer listed continue.
func (p *Pool) SetServers(service string, servers []protocol.Server) {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	existing := make(map[protocol.Server]*server)
	for _, s := range p.servers(service) {
		existing[s.Server] = s
	}
	list := make([]*server, 0, len(servers))
	for _, s := range servers {
		if existing[s] == nil {
			existing[s] = &server{Server: s}
		}
		list = append(list, existing[s])
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

// Do sends call to a server and returns the response. If it fails, it returns an *Error, whose kind says whether a
// server may have run the call.
func (p *Pool) Do(ctx context.Context, call *Call) (Response, error) {
	p.init()
	servers := p.servers(call.Service)
	if len(servers) == 0 {
		return Response{}, &Error{Op: "call", Kind: KindNotSent, Err: errors.Errorf("service %q has no server", call.Service)}
	}
	rnd := rand.New(rand.NewPCG(p.Seed, p.calls.Add(1)))
	servers = sortServers(servers, time.Now(), p.FailureDomain, p.Region, rnd)
	return p.tryServers(ctx, call, servers[:min(len(servers), maxAttempts)])
}

// tryServers sends call to one server after another until one responds or the call must not be retried. An error that
// it returns says whether any of the servers may have run the call.
func (p *Pool) tryServers(ctx context.Context, call *Call, servers []*server) (Response, error) {
	var failure *Error
	mayHaveRun := false
	for i, s := range servers {
		remaining := len(servers) - i
		response, err := p.attempt(ctx, call, s, remaining)
		if err == nil && (remaining == 1 || !p.canRetryAfterResponse(call, response)) {
			return response, nil
		}
		if err == nil {
			continue
		}
		failure = err
		mayHaveRun = mayHaveRun || MayHaveRun(err)
		if ctx.Err() != nil || !p.canRetryAfterError(call, err) {
			break
		}
	}
	if mayHaveRun && !MayHaveRun(failure) {
		failure.Kind = KindBroken
	}
	return Response{}, failure
}

// canRetryAfterResponse reports whether call may be retried on another server because the status of the response, 502,
// 503 or 504, says that this server can't serve it. If so, it has taken one retry from the retry budget.
func (p *Pool) canRetryAfterResponse(call *Call, response Response) bool {
	switch response.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return call.Idempotent && (p.TakeRetry == nil || p.TakeRetry())
	default:
		return false
	}
}

// canRetryAfterError reports whether call may be retried on another server after err. Unless nothing was sent, the
// retry is taken from the retry budget.
func (p *Pool) canRetryAfterError(call *Call, err *Error) bool {
	switch err.Kind {
	case KindNotSent:
		return true
	case KindRefused:
		return p.TakeRetry == nil || p.TakeRetry()
	case KindBroken:
		return call.Idempotent && (p.TakeRetry == nil || p.TakeRetry())
	default:
		return false
	}
}

// attempt sends call to s. The number of servers that have not been tried, including s, is remaining: an
// idempotent call gets only its share of the time up to the deadline, so that time is left for retries on the others.
func (p *Pool) attempt(ctx context.Context, call *Call, s *server, remaining int) (Response, *Error) {
	if deadline, ok := ctx.Deadline(); ok && call.Idempotent && remaining > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/time.Duration(remaining))
		defer cancel()
	}
	s.startCall()
	response, err := p.exchange(ctx, call, s.Server)
	canceled := errors.Is(ctx.Err(), context.Canceled)
	s.endCall(time.Now(), err == nil || err.Kind == KindResponseTooLarge || canceled)
	return response, err
}
