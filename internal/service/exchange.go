package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Headers that concern one connection and are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (p *Pool) init() {
	p.once.Do(func() {
		dialer := &net.Dialer{Timeout: dialTimeout}
		p.fresh = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
		p.kept = &http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true,
			MaxIdleConnsPerHost: idlePerServer, IdleConnTimeout: idleConnTimeout,
		}
	})
}

// transport returns a transport that repeats nothing for calls that must not be repeated.
//
// net/http repeats a request on its own when a connection that it kept open breaks, also a POST with an
// idempotency key; on a new connection it never does.
func (p *Pool) transport(call *Call) *http.Transport {
	if call.Idempotent {
		return p.kept
	}
	return p.fresh
}

// exchange sends call to s once.
func (p *Pool) exchange(ctx context.Context, call *Call, s protocol.Server) (Answer, *Error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := request(ctx, call, s)
	if err != nil {
		return Answer{}, &Error{Op: "call", Kind: KindNotSent, Err: err}
	}
	resp, err := p.transport(call).RoundTrip(req)
	if err != nil {
		kind := KindNotSent
		if sent.Load() {
			kind = KindBroken
		}
		if !errors.Is(err, context.Canceled) {
			p.kept.CloseIdleConnections() // they may be silent while new ones work
		}
		return Answer{}, &Error{Op: "call", Kind: kind, Err: errors.WithStack(err)}
	}
	defer resp.Body.Close()
	return receive(resp, s)
}

func request(ctx context.Context, call *Call, s protocol.Server) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: s.Address.String(), Path: call.Path, RawQuery: call.Query}
	req, err := http.NewRequestWithContext(ctx, call.Method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	dropHopByHop(req.Header)
	return req, nil
}

func receive(resp *http.Response, s protocol.Server) (Answer, *Error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, &Error{Op: "call", Kind: KindBroken, Err: errors.WithStack(err)}
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, &Error{Op: "call", Kind: KindTooLarge, Err: errors.Errorf("answer above %d bytes", maxAnswerBytes)}
	}
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if refused && resp.Header.Get(outcome.Header) == string(outcome.NotRun) {
		return Answer{}, &Error{Op: "call", Kind: KindRefused, Err: errors.Errorf("status %d", resp.StatusCode)}
	}
	dropHopByHop(resp.Header)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Server: s.Name}, nil
}

// dropHopByHop removes the headers that concern one connection, also those that Connection names.
func dropHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
