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
	attempts         = 4
	backoffInitial   = 50 * time.Millisecond
	backoffMax       = 2 * time.Second
	maxResponseBytes = 64 << 20
	maxIdleConns     = 32
	minJudged        = 250 * time.Millisecond
)

// state is what a Client keeps between calls.
type state struct {
	once    sync.Once
	http    *http.Client
	metrics tally.Scope
	log     *slog.Logger
	mu      sync.Mutex // guards the fields below; never held over I/O
	breaker breaker
	reads   *bucket
	writes  *bucket
}

// call is one call of the platform.
type call struct {
	op      string
	method  string // empty means GET
	path    string
	query   url.Values
	body    []byte
	wait    time.Duration // that the platform may hold the answer back
	missing Kind          // of status 404; empty means KindNotFound
	out     any           // receives the answer unless nil
}

func (c *Client) init() {
	c.once.Do(func() {
		c.http = c.HTTP
		if c.http == nil {
			c.http = &http.Client{Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,
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

// read makes a call that may be repeated, with backoff between the attempts.
func (c *Client) read(ctx context.Context, call *call) error {
	c.init()
	call.method = http.MethodGet
	return c.repeat(ctx, c.reads, call, func(k Kind) bool { return k == KindUnavailable || k == KindThrottled })
}

// write makes a call that is repeated only when the platform said that its rate was too high.
func (c *Client) write(ctx context.Context, call *call) error {
	c.init()
	return c.repeat(ctx, c.writes, call, func(k Kind) bool { return k == KindThrottled })
}

func (c *Client) repeat(ctx context.Context, b *bucket, call *call, retryable func(Kind) bool) error {
	pause := &backoff.ExponentialBackOff{
		InitialInterval: backoffInitial, MaxInterval: backoffMax,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	pause.Reset()
	for n := 1; ; n++ {
		err := c.attempt(ctx, b, call)
		if err == nil {
			return nil
		}
		if n == attempts || !retryable(err.Kind) || sleep(ctx, pause.NextBackOff()) != nil {
			return err
		}
	}
}

// attempt makes one attempt under the rate and the circuit breaker.
func (c *Client) attempt(ctx context.Context, b *bucket, call *call) *Error {
	if err := c.admit(ctx, b); err != nil {
		return &Error{Op: call.op, Kind: KindThrottled, Err: err}
	}
	if err := ctx.Err(); err != nil {
		return &Error{Op: call.op, Kind: KindUnavailable, Err: err}
	}
	if wait, ok := c.enter(); !ok {
		return &Error{Op: call.op, Kind: KindUnavailable, Err: errors.Errorf("circuit breaker open for %v", wait)}
	}
	start := time.Now()
	err := c.send(ctx, call)
	c.leave(ctx, err, time.Since(start))
	c.count(call, err)
	return err
}

// admit waits for a token of b.
func (c *Client) admit(ctx context.Context, b *bucket) error {
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

func (c *Client) enter() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, wait := c.breaker.allow(time.Now())
	return wait, ok
}

// leave tells the circuit breaker how a call ended.
func (c *Client) leave(ctx context.Context, err *Error, took time.Duration) {
	c.mu.Lock()
	before := c.breaker.open > 0
	c.note(ctx, err, took)
	after := c.breaker.open > 0
	c.mu.Unlock()
	switch {
	case after && !before:
		c.log.Warn("the platform does not answer", "error", err)
		c.metrics.Gauge("platform_down").Update(1)
	case before && !after:
		c.log.Info("the platform answers again")
		c.metrics.Gauge("platform_down").Update(0)
	}
}

func (c *Client) count(call *call, err *Error) {
	result := "ok"
	if err != nil {
		result = string(err.Kind)
	}
	c.metrics.Tagged(map[string]string{"op": call.op, "result": result}).Counter("platform_calls").Inc(1)
}

// note takes no notice of calls that their callers gave up on too early to tell.
func (c *Client) note(ctx context.Context, err *Error, took time.Duration) {
	switch {
	case err == nil || err.Kind != KindUnavailable && err.Kind != KindUnknown:
		c.breaker.succeeded()
	case errors.Is(ctx.Err(), context.Canceled), ctx.Err() != nil && took < minJudged:
		c.breaker.withdrawn()
	default:
		c.breaker.failed(time.Now())
	}
}

// sleep returns nil after d, or an error at once when ctx ends before.
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

// send does one exchange and classifies its failure.
func (c *Client) send(ctx context.Context, call *call) *Error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+call.wait)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := c.request(ctx, call)
	if err != nil {
		return &Error{Op: call.op, Kind: KindInvalid, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			c.http.CloseIdleConnections() // they may be silent while new ones work
		}
		return &Error{Op: call.op, Kind: call.broken(sent.Load()), Err: errors.WithStack(err)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &Error{Op: call.op, Kind: call.broken(true), Err: errors.WithStack(err)}
	}
	return call.answer(resp.StatusCode, body)
}

func (c *Client) request(ctx context.Context, call *call) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: c.Endpoint.String(), Path: call.path, RawQuery: call.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, call.method, u.String(), bytes.NewReader(call.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set(platformapi.HeaderHost, c.Host)
	req.Header.Set(platformapi.HeaderFailureDomain, c.FailureDomain)
	return req, nil
}

// broken classifies an exchange without an answer.
func (call *call) broken(sent bool) Kind {
	if sent && call.method != http.MethodGet {
		return KindUnknown
	}
	return KindUnavailable
}

// answer classifies an answer by its status and decodes it.
func (call *call) answer(status int, body []byte) *Error {
	kind := KindInvalid
	switch {
	case status == http.StatusOK:
		if call.out == nil {
			return nil
		}
		if err := json.Unmarshal(body, call.out); err != nil {
			return &Error{Op: call.op, Kind: call.broken(true), Err: errors.WithStack(err)}
		}
		return nil
	case status == http.StatusNotFound && call.missing != "":
		kind = call.missing
	case status == http.StatusNotFound:
		kind = KindNotFound
	case status == http.StatusConflict:
		kind = KindConflict
	case status == http.StatusTooManyRequests:
		kind = KindThrottled
	case status == http.StatusServiceUnavailable:
		kind = KindUnavailable
	case status >= http.StatusInternalServerError:
		kind = call.broken(true)
	}
	return &Error{Op: call.op, Kind: kind, Err: errors.Errorf("status %d", status)}
}
