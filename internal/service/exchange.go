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

	"github.com/turmericshunt/turmericshunt/internal/duplex"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// hopByHopHeaders lists the hop-by-hop headers, which apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (p *Pool) init() {
	p.once.Do(func() {
		p.transport = &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}
	})
}

// dial connects to a backend server.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &duplex.Conn{Conn: netconn.TCP{TCPConn: c.(*net.TCPConn)}}, nil
}

// exchange sends call to s once and returns the response.
func (p *Pool) exchange(ctx context.Context, call *Call, s protocol.Server) (Response, *Error) {
	var mayBeSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mayBeSent.Store(true) },
	})
	req, err := newRequest(ctx, call, s)
	if err != nil {
		return Response{}, &Error{Op: "call", Kind: KindNotSent, Err: err}
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		kind := KindNotSent
		if mayBeSent.Load() {
			kind = KindBroken
		}
		return Response{}, &Error{Op: "call", Kind: kind, Err: errors.WithStack(err)}
	}
	defer resp.Body.Close()
	return readResponse(resp, s)
}

func newRequest(ctx context.Context, call *Call, s protocol.Server) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: s.Address.String(), Path: call.Path, RawQuery: call.Query}
	req, err := http.NewRequestWithContext(ctx, call.Method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	dropHopByHopHeaders(req.Header)
	return req, nil
}

// maxStatus is the highest status that a response can have.
const maxStatus = 599

// readResponse reads the response of s. It returns an error of KindRefused if the response has status 429 or 503 and
// its outcome header states that s did not run the call, and one of KindBroken if no response can have its status.
func readResponse(resp *http.Response, s protocol.Server) (Response, *Error) {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return Response{}, &Error{
			Op: "call", Kind: KindBroken, Err: errors.Errorf("%d is not the status of a response", resp.StatusCode),
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, &Error{Op: "call", Kind: KindBroken, Err: errors.WithStack(err)}
	}
	if len(body) > maxResponseBytes {
		return Response{}, &Error{
			Op: "call", Kind: KindResponseTooLarge, Err: errors.Errorf("response larger than %d bytes", maxResponseBytes),
		}
	}
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if refused && resp.Header.Get(outcome.Header) == string(outcome.NotRun) {
		return Response{}, &Error{Op: "call", Kind: KindRefused, Err: errors.Errorf("status %d", resp.StatusCode)}
	}
	dropHopByHopHeaders(resp.Header)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Server: s.Name}, nil
}

// dropHopByHopHeaders removes the hop-by-hop headers, including those that the Connection header names.
func dropHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
