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
	defaultFrameTimeout = time.Second
	defaultCallTimeout  = 2 * time.Second
	maxResponseBytes    = 8 << 20  // of the body of a response that is not a stream
	maxRefusalBytes     = 16 << 10 // of the body of a response with another status than 200
)

// Client calls engines. Each of its methods that calls an engine returns an *Error if the call fails.
type Client struct {
	Host                  protocol.Host // owner of the memory that the client allocates on engines
	FrameTimeout          time.Duration // longest wait for the next frame of a stream; 0 means 1 s
	CallTimeout           time.Duration // timeout of a call whose response is not a stream; 0 means 2 s
	ConnectTimeout        time.Duration // 0 means 1 s
	MaxIdleConnsPerServer int           // idle connections kept for each engine; 0 means 64

	pools pools
}

// Owner returns the identity under which engines record the memory of the attempt with the given ID.
func (c *Client) Owner(id protocol.AttemptID) engineapi.Owner {
	return engineapi.Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt}
}

// Close closes the idle connections to all engines.
func (c *Client) Close() { c.pools.closeIdle() }

// Submit starts an attempt on an engine and returns the stream of its frames. If s has no owner host, the client's host
// becomes the owner.
func (c *Client) Submit(ctx context.Context, server protocol.Server, s engineapi.Submit) (*Stream, error) {
	c.setDefaultOwner(&s.Owner)
	return c.open(ctx, "submit", server, http.MethodPost, "/v1/sequences", s)
}

// Resume returns the stream of an attempt's frames from offset on, which counts output tokens.
func (c *Client) Resume(ctx context.Context, server protocol.Server, o engineapi.Owner, offset int64) (*Stream, error) {
	path := fmt.Sprintf("%s/stream?offset=%d", sequencePath(o), offset)
	return c.open(ctx, "resume", server, http.MethodGet, path, nil)
}

// Status returns the state of an attempt and how many output tokens it has produced.
func (c *Client) Status(ctx context.Context, server protocol.Server, o engineapi.Owner) (engineapi.Status, error) {
	var status engineapi.Status
	err := c.call(ctx, "status", server, http.MethodGet, sequencePath(o), nil, &status)
	return status, err
}

// Cancel ends an attempt and frees its memory. If newConnection is set, the call uses a new connection instead of a
// pooled one.
func (c *Client) Cancel(
	ctx context.Context, server protocol.Server, o engineapi.Owner, newConnection bool,
) (engineapi.Released, error) {
	var released engineapi.Released
	x := &exchange{
		op: "cancel", server: server, method: http.MethodDelete, path: sequencePath(o), newConnection: newConnection,
	}
	return released, c.do(ctx, x, &released)
}

// Reserve allocates memory on an engine for an attempt. If r has no owner host, the client's host becomes the owner.
func (c *Client) Reserve(
	ctx context.Context, server protocol.Server, r engineapi.Reserve,
) (engineapi.Allocation, error) {
	c.setDefaultOwner(&r.Owner)
	var a engineapi.Allocation
	err := c.call(ctx, "reserve", server, http.MethodPost, "/v1/reservations", r, &a)
	return a, err
}

// Release frees an allocation of any kind. If newConnection is set, the call uses a new connection instead of a pooled
// one.
func (c *Client) Release(
	ctx context.Context, server protocol.Server, allocation string, newConnection bool,
) (engineapi.Released, error) {
	var released engineapi.Released
	path := "/v1/allocations/" + url.PathEscape(allocation)
	x := &exchange{
		op: "release", server: server, method: http.MethodDelete, path: path, newConnection: newConnection,
	}
	return released, c.do(ctx, x, &released)
}

// Allocations returns all memory allocations of the engine, of every owner.
func (c *Client) Allocations(ctx context.Context, server protocol.Server) (engineapi.Allocations, error) {
	var list engineapi.Allocations
	err := c.call(ctx, "list", server, http.MethodGet, "/v1/allocations", nil, &list)
	return list, err
}

// Export turns the KV memory of a completed prefill into an export, which other engines can read until it is released
// or the given time has passed.
func (c *Client) Export(
	ctx context.Context, server protocol.Server, o engineapi.Owner, expiry time.Duration,
) (engineapi.Allocation, error) {
	var a engineapi.Allocation
	path := fmt.Sprintf("%s/export?expiry_ms=%d", sequencePath(o), expiry.Milliseconds())
	err := c.call(ctx, "export", server, http.MethodPost, path, nil, &a)
	return a, err
}

// Load returns the latest report of the engine about its load.
func (c *Client) Load(ctx context.Context, server protocol.Server) (engineapi.Load, error) {
	var l engineapi.Load
	err := c.call(ctx, "load", server, http.MethodGet, "/v1/load", nil, &l)
	return l, err
}

// CacheEvents returns the events of the engine's prefix cache whose sequence numbers are greater than after. The engine
// waits for the first such event, but no longer than the given time.
func (c *Client) CacheEvents(
	ctx context.Context, server protocol.Server, after uint64, wait time.Duration,
) (engineapi.CacheEvents, error) {
	var events engineapi.CacheEvents
	path := fmt.Sprintf("/v1/cache_events?after=%d&wait_ms=%d", after, wait.Milliseconds())
	x := &exchange{op: "cache_events", server: server, method: http.MethodGet, path: path, extraTimeout: wait}
	return events, c.do(ctx, x, &events)
}

// Command sends a command to the engine and does not retry it.
func (c *Client) Command(
	ctx context.Context, server protocol.Server, o engineapi.Command,
) (engineapi.CommandResult, error) {
	var result engineapi.CommandResult
	err := c.call(ctx, "order", server, http.MethodPost, "/v1/orders", o, &result)
	return result, err
}

// State returns the fencing number and the role of the engine, and the models and adapters that it has loaded.
func (c *Client) State(ctx context.Context, server protocol.Server) (engineapi.State, error) {
	var s engineapi.State
	err := c.call(ctx, "state", server, http.MethodGet, "/v1/state", nil, &s)
	return s, err
}

// setDefaultOwner makes the client's host the owner if o names no host.
func (c *Client) setDefaultOwner(o *engineapi.Owner) {
	if o.Host == "" {
		o.Host, o.Incarnation = c.Host.Name, c.Host.Incarnation
	}
}

func sequencePath(o engineapi.Owner) string {
	return fmt.Sprintf("/v1/sequences/%s/%d", url.PathEscape(o.Request), o.Attempt)
}

// exchange describes one HTTP request to an engine.
type exchange struct {
	op            string          // name of the operation in errors
	server        protocol.Server // to which the request is sent
	method        string
	path          string        // with the query
	body          any           // is sent as JSON; nil sends no body
	newConnection bool          // use a new connection instead of a pooled one
	extraTimeout  time.Duration // how long the engine may delay the response; added to the call timeout
}

func (c *Client) call(
	ctx context.Context, op string, server protocol.Server, method, path string, body, result any,
) error {
	return c.do(ctx, &exchange{op: op, server: server, method: method, path: path, body: body}, result)
}

// do makes a call and decodes the JSON response into result.
func (c *Client) do(callerCtx context.Context, x *exchange, result any) error {
	ctx, cancel := context.WithTimeoutCause(
		callerCtx, orDefault(c.CallTimeout, defaultCallTimeout)+x.extraTimeout, errReceiveTimeout)
	defer cancel()
	resp, transport, err := c.send(ctx, callerCtx, x)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusalError(x.op, x.server.Name, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		e := callError(ctx, callerCtx, x.op, x.server.Name, true, err)
		c.discardFaultyPool(x.server, transport, e)
		return e
	}
	if err := json.Unmarshal(body, result); err != nil {
		return &Error{Op: x.op, Kind: KindInvalid, Server: x.server.Name, Err: errors.WithStack(err)}
	}
	return nil
}

// send sends a request and returns the response as soon as its header has arrived, with the transport that carried it.
// The HTTP exchange runs under ctx, whose parent is callerCtx, the context of the caller.
func (c *Client) send(ctx, callerCtx context.Context, x *exchange) (*http.Response, *http.Transport, error) {
	var mayBeSent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { mayBeSent.Store(true) }}
	req, err := x.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, nil, &Error{Op: x.op, Kind: KindInvalid, Server: x.server.Name, Err: err}
	}
	transport := c.transport(x)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		e := callError(ctx, callerCtx, x.op, x.server.Name, mayBeSent.Load(), err)
		c.discardFaultyPool(x.server, transport, e)
		return nil, nil, e
	}
	return resp, transport, nil
}

func (c *Client) transport(x *exchange) *http.Transport {
	if x.newConnection {
		return c.newTransport(false)
	}
	return c.pools.get(x.server.Address, func() *http.Transport { return c.newTransport(true) })
}

// discardFaultyPool discards the connection pool of a server if e shows that one of its connections broke or received
// no data in time, since the idle connections of the pool may have failed too.
func (c *Client) discardFaultyPool(server protocol.Server, transport *http.Transport, e *Error) {
	if e.Kind == KindTimeout || e.Kind == KindBroken {
		c.pools.discard(server.Address, transport)
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

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
