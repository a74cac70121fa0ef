package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	defaultGapTimeout  = time.Second
	defaultCallTimeout = 2 * time.Second
	maxAnswerBytes     = 8 << 20
	maxRefusalBytes    = 16 << 10
)

// Client calls engines; each method returns an *Error when it fails.
type Client struct {
	Host           protocol.Host // owner of all memory that the client asks for
	GapTimeout     time.Duration // longest silence on a stream
	CallTimeout    time.Duration // longest wait for any other answer
	ConnectTimeout time.Duration
	IdlePerServer  int // idle connections kept for each engine

	pools pools
}

// Owner returns the owner of memory held for an attempt.
func (c *Client) Owner(id protocol.AttemptID) engineapi.Owner {
	return engineapi.Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt}
}

// Close closes idle connections.
func (c *Client) Close() { c.pools.closeIdle() }

// Submit starts an attempt and returns its frames.
func (c *Client) Submit(ctx context.Context, server protocol.Server, s engineapi.Submit) (*Stream, error) {
	c.own(&s.Owner)
	return c.open(ctx, "submit", server, http.MethodPost, "/v1/sequences", s)
}

// Resume returns an attempt's frames from an offset in tokens on.
func (c *Client) Resume(ctx context.Context, server protocol.Server, o engineapi.Owner, offset int64) (*Stream, error) {
	path := fmt.Sprintf("%s/stream?offset=%d", sequencePath(o), offset)
	return c.open(ctx, "resume", server, http.MethodGet, path, nil)
}

// Status tells how far an attempt has come.
func (c *Client) Status(ctx context.Context, server protocol.Server, o engineapi.Owner) (engineapi.Status, error) {
	var status engineapi.Status
	err := c.call(ctx, "status", server, http.MethodGet, sequencePath(o), nil, &status)
	return status, err
}

// Cancel ends an attempt and frees its memory; fresh uses a new connection.
func (c *Client) Cancel(
	ctx context.Context, server protocol.Server, o engineapi.Owner, fresh bool,
) (engineapi.Released, error) {
	var released engineapi.Released
	x := &exchange{op: "cancel", server: server, method: http.MethodDelete, path: sequencePath(o), fresh: fresh}
	return released, c.do(ctx, x, &released)
}

// Reserve holds memory for an attempt.
func (c *Client) Reserve(
	ctx context.Context, server protocol.Server, r engineapi.Reserve,
) (engineapi.Allocation, error) {
	c.own(&r.Owner)
	var a engineapi.Allocation
	err := c.call(ctx, "reserve", server, http.MethodPost, "/v1/reservations", r, &a)
	return a, err
}

// Release frees an allocation of any kind; fresh uses a new connection.
func (c *Client) Release(
	ctx context.Context, server protocol.Server, allocation string, fresh bool,
) (engineapi.Released, error) {
	var released engineapi.Released
	path := "/v1/allocations/" + url.PathEscape(allocation)
	x := &exchange{op: "release", server: server, method: http.MethodDelete, path: path, fresh: fresh}
	return released, c.do(ctx, x, &released)
}

// Allocations lists all memory that the engine holds for owners.
func (c *Client) Allocations(ctx context.Context, server protocol.Server) (engineapi.Allocations, error) {
	var list engineapi.Allocations
	err := c.call(ctx, "list", server, http.MethodGet, "/v1/allocations", nil, &list)
	return list, err
}

// Export turns the memory of an ended prefill into an export that expires after the given time.
func (c *Client) Export(
	ctx context.Context, server protocol.Server, o engineapi.Owner, expiry time.Duration,
) (engineapi.Allocation, error) {
	var a engineapi.Allocation
	path := fmt.Sprintf("%s/export?expiry_ms=%d", sequencePath(o), expiry.Milliseconds())
	err := c.call(ctx, "export", server, http.MethodPost, path, nil, &a)
	return a, err
}

// Load returns the engine's latest report about itself.
func (c *Client) Load(ctx context.Context, server protocol.Server) (engineapi.Load, error) {
	var l engineapi.Load
	err := c.call(ctx, "load", server, http.MethodGet, "/v1/load", nil, &l)
	return l, err
}

// CacheEvents returns the events after a sequence number, and waits up to the given time for the first one.
func (c *Client) CacheEvents(
	ctx context.Context, server protocol.Server, after uint64, wait time.Duration,
) (engineapi.CacheEvents, error) {
	var events engineapi.CacheEvents
	path := fmt.Sprintf("/v1/cache_events?after=%d&wait_ms=%d", after, wait.Milliseconds())
	x := &exchange{op: "cache_events", server: server, method: http.MethodGet, path: path, extra: wait}
	return events, c.do(ctx, x, &events)
}

// Order sends an order once.
func (c *Client) Order(
	ctx context.Context, server protocol.Server, o engineapi.Order,
) (engineapi.OrderResult, error) {
	var result engineapi.OrderResult
	err := c.call(ctx, "order", server, http.MethodPost, "/v1/orders", o, &result)
	return result, err
}

// State returns what the engine has loaded.
func (c *Client) State(ctx context.Context, server protocol.Server) (engineapi.State, error) {
	var s engineapi.State
	err := c.call(ctx, "state", server, http.MethodGet, "/v1/state", nil, &s)
	return s, err
}

func (c *Client) own(o *engineapi.Owner) {
	if o.Host == "" {
		o.Host, o.Incarnation = c.Host.Name, c.Host.Incarnation
	}
}

func sequencePath(o engineapi.Owner) string {
	return fmt.Sprintf("/v1/sequences/%s/%d", url.PathEscape(o.Request), o.Attempt)
}

// exchange is one call.
type exchange struct {
	op     string
	server protocol.Server
	method string
	path   string
	body   any
	fresh  bool          // on a connection of its own
	extra  time.Duration // wait that the engine was asked for
}

func (c *Client) call(
	ctx context.Context, op string, server protocol.Server, method, path string, body, into any,
) error {
	return c.do(ctx, &exchange{op: op, server: server, method: method, path: path, body: body}, into)
}

// do makes a call with a JSON answer.
func (c *Client) do(caller context.Context, x *exchange, into any) error {
	ctx, cancel := context.WithTimeoutCause(caller, orDefault(c.CallTimeout, defaultCallTimeout)+x.extra, errSilent)
	defer cancel()
	resp, transport, err := c.send(ctx, caller, x)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusalError(x.op, x.server.Name, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		e := callError(ctx, caller, x.op, x.server.Name, true, err)
		c.dropFaulty(x.server, transport, e)
		return e
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &Error{Op: x.op, Kind: KindInvalid, Server: x.server.Name, Err: errors.WithStack(err)}
	}
	return nil
}

// send sends a call and returns the answer's header; ctx bounds the exchange and caller is its parent.
func (c *Client) send(ctx, caller context.Context, x *exchange) (*http.Response, *http.Transport, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := x.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, nil, &Error{Op: x.op, Kind: KindInvalid, Server: x.server.Name, Err: err}
	}
	transport := c.transport(x)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		e := callError(ctx, caller, x.op, x.server.Name, sent.Load(), err)
		c.dropFaulty(x.server, transport, e)
		return nil, nil, e
	}
	return resp, transport, nil
}

func (c *Client) transport(x *exchange) *http.Transport {
	if x.fresh {
		return c.newTransport(false)
	}
	return c.pools.get(x.server.Address, func() *http.Transport { return c.newTransport(true) })
}

// dropFaulty replaces the pool of a server whose connection went silent or broke, since its idle siblings may have too.
func (c *Client) dropFaulty(server protocol.Server, transport *http.Transport, e *Error) {
	if e.Kind == KindSilent || e.Kind == KindBroken {
		c.pools.replace(server.Address, transport)
	}
}

func (x *exchange) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if x.body != nil {
		data, err := json.Marshal(x.body)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, x.method, "http://"+x.server.Address.String()+x.path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if x.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func orDefault(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}
