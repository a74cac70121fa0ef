package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const (
	maxAttempts      = 4                     // of one call, including the first
	backoffInitial   = 50 * time.Millisecond // mean wait before the first retry
	backoffMax       = 2 * time.Second
	maxResponseBytes = 64 << 20 // of a response body
	maxHeaderBytes   = 64 << 10 // of the header of a response
	maxIdleConns     = 32
	// minFailureDuration is how long an attempt must have lasted for the circuit breaker to count it as a failure when the
	// caller's deadline ended it. An attempt that is ended earlier does not show whether the platform responds.
	minFailureDuration = 250 * time.Millisecond
)

// clientState is the internal state of a Client.
type clientState struct {
	once    sync.Once
	http    *http.Client
	metrics tally.Scope
	log     *slog.Logger
	mu      sync.Mutex // guards the fields below; is not held during I/O
	breaker breaker
	reads   *tokenBucket // nil means no limit
	writes  *tokenBucket // nil means no limit
}

// call describes one call to the platform.
type call struct {
	op            string // name of the operation in errors and metrics
	method        string // empty means GET
	path          string
	query         url.Values
	body          []byte
	responseDelay time.Duration // how long the platform may delay the response; added to the timeout
	notFoundKind  Kind          // kind of the error for status 404; empty means KindNotFound
	out           any           // the response is decoded into it; nil means that it is not decoded
}

func (c *Client) init() {
	c.once.Do(func() {
		c.http = c.HTTPClient
		if c.http == nil {
			c.http = &http.Client{Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,

				MaxResponseHeaderBytes: maxHeaderBytes,
			}}
		}
		c.metrics = c.Metrics
		if c.metrics == nil {
			c.metrics = tally.NoopScope
		}
		c.log = c.Log
		if c.log == nil {
			c.log = slog.New(slog.DiscardHandler)
		}
		c.breaker.rnd = rand.New(rand.NewPCG(c.Seed, 1)) //nolint:gosec // jitter needs no secret
		if c.ReadsPerSecond > 0 {
			c.reads = newBucket(c.ReadsPerSecond)
		}
		if c.WritesPerSecond > 0 {
			c.writes = newBucket(c.WritesPerSecond)
		}
	})
}

// read makes a GET call. It retries the call with backoff if the platform does not respond or the rate is too high.
func (c *Client) read(ctx context.Context, call *call) error {
	c.init()
	call.method = http.MethodGet
	return c.retry(ctx, c.reads, call, func(k Kind) bool { return k == KindUnavailable || k == KindThrottled })
}

// write makes a call that changes data. It retries the call only if the rate was too high, since nothing was written
// then.
func (c *Client) write(ctx context.Context, call *call) error {
	c.init()
	return c.retry(ctx, c.writes, call, func(k Kind) bool { return k == KindThrottled })
}

// retry makes a call under the rate limit b and retries it with exponential backoff while retryable reports true for
// the kind of the error, with at most maxAttempts attempts. It gives up early if the next wait would pass the deadline
// of ctx.
func (c *Client) retry(ctx context.Context, b *tokenBucket, call *call, retryable func(Kind) bool) error {
	retryDelay := &backoff.ExponentialBackOff{
		InitialInterval: backoffInitial, MaxInterval: backoffMax,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	retryDelay.Reset()
	for n := 1; ; n++ {
		err := c.attempt(ctx, b, call)
		if err == nil {
			return nil
		}
		if n == maxAttempts || !retryable(err.Kind) || sleep(ctx, retryDelay.NextBackOff()) != nil {
			return err
		}
	}
}

// attempt makes one attempt at a call, subject to the rate limit b and the circuit breaker.
func (c *Client) attempt(ctx context.Context, b *tokenBucket, call *call) *Error {
	if err := c.waitForToken(ctx, b); err != nil {
		return &Error{Op: call.op, Kind: KindThrottled, Err: err}
	}
	if err := ctx.Err(); err != nil {
		return &Error{Op: call.op, Kind: KindUnavailable, Err: err}
	}
	if wait, ok := c.checkBreaker(); !ok {
		return &Error{Op: call.op, Kind: KindUnavailable, Err: errors.Errorf("circuit breaker open for %v", wait)}
	}
	start := time.Now()
	err := c.send(ctx, call)
	c.reportResult(ctx, err, time.Since(start))
	c.countResult(call, err)
	return err
}

// waitForToken waits for a token of b. It returns an error if ctx ends before one is available.
func (c *Client) waitForToken(ctx context.Context, b *tokenBucket) error {
	if b == nil {
		return nil
	}
	p := priorityOf(ctx)
	for {
		c.mu.Lock()
		wait := b.take(time.Now(), p)
		c.mu.Unlock()
		if wait == 0 {
			return nil
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// checkBreaker reports whether the circuit breaker allows an attempt. If not, it returns how long to wait for the next
// probe.
func (c *Client) checkBreaker() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, wait := c.breaker.allow(time.Now())
	return wait, ok
}

// reportResult reports the result of an attempt to the circuit breaker. It logs and sets the gauge when the breaker
// opens or closes.
func (c *Client) reportResult(ctx context.Context, err *Error, took time.Duration) {
	c.mu.Lock()
	wasOpen := c.breaker.openPeriod > 0
	c.updateBreaker(ctx, err, took)
	isOpen := c.breaker.openPeriod > 0
	c.mu.Unlock()
	switch {
	case isOpen && !wasOpen:
		c.log.Warn("platform does not respond; circuit breaker opened", "error", err)
		c.metrics.Gauge("platform_down").Update(1)
	case wasOpen && !isOpen:
		c.log.Info("platform responds again; circuit breaker closed")
		c.metrics.Gauge("platform_down").Update(0)
	}
}

// countResult counts an attempt by its operation and its result.
func (c *Client) countResult(call *call, err *Error) {
	result := "ok"
	if err != nil {
		result = string(err.Kind)
	}
	c.metrics.Tagged(map[string]string{"op": call.op, "result": result}).Counter("platform_calls").Inc(1)
}

// updateBreaker records the result of an attempt, which took the given time, in the circuit breaker. An attempt without
// a response counts as neither success nor failure if the caller canceled it, or if the caller's deadline ended it in
// less than minFailureDuration.
func (c *Client) updateBreaker(ctx context.Context, err *Error, took time.Duration) {
	switch {
	case err == nil || err.Kind != KindUnavailable && err.Kind != KindOutcomeUnknown:
		c.breaker.succeeded()
	case errors.Is(ctx.Err(), context.Canceled), ctx.Err() != nil && took < minFailureDuration:
		c.breaker.inconclusive()
	default:
		c.breaker.failed(time.Now())
	}
}

// sleep returns nil after d. It returns an error at once if the deadline of ctx is earlier than that, and as soon as
// ctx ends otherwise.
func sleep(ctx context.Context, d time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return context.DeadlineExceeded
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send sends the request of a call, decodes the response and classifies a failure.
func (c *Client) send(ctx context.Context, call *call) *Error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+call.responseDelay)
	defer cancel()
	var mayBeSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mayBeSent.Store(true) },
	})
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return &Error{Op: call.op, Kind: KindInvalid, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			c.http.CloseIdleConnections() // they may carry no data any more although new connections work
		}
		return &Error{Op: call.op, Kind: call.noResponseKind(mayBeSent.Load()), Err: errors.WithStack(err)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &Error{Op: call.op, Kind: call.noResponseKind(true), Err: errors.WithStack(err)}
	}
	return call.handleResponse(resp.StatusCode, body)
}

func (c *Client) newRequest(ctx context.Context, call *call) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: c.Endpoint.String(), Path: call.path, RawQuery: call.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, call.method, u.String(), bytes.NewReader(call.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set(platformapi.HeaderHost, c.Host)
	req.Header.Set(platformapi.HeaderFailureDomain, c.FailureDomain)
	return req, nil
}

// noResponseKind returns the kind of the error of a call without a usable response. It is KindOutcomeUnknown for a
// write that may have been sent, and KindUnavailable otherwise.
func (call *call) noResponseKind(mayBeSent bool) Kind {
	if mayBeSent && call.method != http.MethodGet {
		return KindOutcomeUnknown
	}
	return KindUnavailable
}

// handleResponse decodes a response body into call.out if the status is 200, and otherwise returns an error whose kind
// depends on the status.
func (call *call) handleResponse(status int, body []byte) *Error {
	kind := KindInvalid
	switch {
	case status == http.StatusOK:
		if call.out == nil {
			return nil
		}
		if err := json.Unmarshal(body, call.out); err != nil {
			return &Error{Op: call.op, Kind: call.noResponseKind(true), Err: errors.WithStack(err)}
		}
		return nil
	case status == http.StatusNotFound && call.notFoundKind != "":
		kind = call.notFoundKind
	case status == http.StatusNotFound:
		kind = KindNotFound
	case status == http.StatusConflict:
		kind = KindConflict
	case status == http.StatusTooManyRequests:
		kind = KindThrottled
	case status == http.StatusServiceUnavailable:
		kind = KindUnavailable
	case status >= http.StatusInternalServerError:
		kind = call.noResponseKind(true)
	}
	return &Error{Op: call.op, Kind: kind, Err: errors.Errorf("status %d", status)}
}
