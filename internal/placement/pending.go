package placement

import (
	"context"
	"log/slog"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// The maximum time that another host's planner may take to reply. If it neither decides on a placement request nor
	// says that the request is queued, this host plans the request itself. If it does not answer a query about a silent
	// request, the extra wait is 0.
	plannerTimeout = 80 * time.Millisecond
	// Appended to the id of a placement request that this host plans because another host's planner did not reply.
	bypassIDSuffix = "~"
)

// pendingRequest is a placement request without a result. It is kept so that a new planner can be asked for one.
type pendingRequest struct {
	request     planner.Request
	requestedAt time.Time  // when the times in request applied
	replies     chan reply // has room for the notice that the request is queued and for the result
	queued      bool       // the notice has been passed on
}

// newPendingRequest returns a request without a reply, whose times applied at requestedAt.
func newPendingRequest(req planner.Request, requestedAt time.Time) *pendingRequest {
	return &pendingRequest{request: req, requestedAt: requestedAt, replies: make(chan reply, 2)}
}

// requestAt returns the request with its remaining times at now.
func (p *pendingRequest) requestAt(now time.Time) planner.Request {
	req := p.request
	req.SubtractElapsed(now.Sub(p.requestedAt))
	return req
}

// reply is the planner's reply to a placement request: the result, or notice that the request is queued.
type reply struct {
	result planner.Result
	queued bool // the request waits at the planner; the result follows
}

// Place submits a placement request to the planner and returns its result. If another host's planner does not reply in
// time, this host plans the request in its place. The ID in the result is the one to pass to Started, ExtraWait and
// Ended; it differs from req.ID only in that case. Place returns an error only if ctx ends first.
func (c *Client) Place(ctx context.Context, req planner.Request) (planner.Result, error) {
	requestedAt := steady.Now()
	req.Host = c.self().String()
	if c.CrossingPrice > 0 {
		req.FailureDomain = c.FailureDomain
	} else {
		req.Bytes, req.CrossingDelay = 0, 0
	}
	pending := newPendingRequest(req, requestedAt)
	c.mu.Lock()
	c.pending[req.ID] = pending
	remote := c.submit(req)
	c.mu.Unlock()
	result, ok := c.await(ctx, pending.replies, remote)
	if !ok && ctx.Err() == nil {
		c.Metrics.Counter("planner_passed_over").Inc(1)
		c.Log.Warn("planner_passed_over", slog.String("request_id", req.ID), slog.String("planner", c.Planner().String()),
			eventlog.Milliseconds("waited_ms", steady.Now().Sub(requestedAt)))
		if pending = c.bypassPlanner(pending); pending.request.ID != req.ID {
			req = pending.request
		}
		result, ok = c.await(ctx, pending.replies, false)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, req.ID)
	if !ok {
		c.reportEnded(link.Progress{ID: req.ID, Outcome: planner.OutcomeCanceled})
		return planner.Result{}, ctx.Err()
	}
	if result.Plan != nil {
		c.track(req, result, pending.requestedAt)
	}
	return result, nil
}

// submit submits a placement request to the planner or, if that is on another host and not connected, to the local one.
// It reports whether the request was sent to another host.
func (c *Client) submit(req planner.Request) bool {
	if p := c.linkToPlanner(); p != nil && !p.link.Closed() {
		p.link.Send(&link.Message{Request: &req})
		return true
	}
	now := steady.Now()
	c.localPlanner.Submit(now, req)
	c.sendResults(now)
	return false
}

// resubmit submits all placement requests without a result to the planner, which is a new one.
func (c *Client) resubmit(now time.Time) {
	for _, pending := range c.pending {
		c.submit(pending.requestAt(now))
	}
}

// bypassPlanner submits a placement request to the local planner under a new id, with its remaining times, and returns
// it. If the result has come after all, since this host gave up waiting, it returns the request as it is: a plan that nobody
// takes would keep its place at the planner until the request's deadline.
func (c *Client) bypassPlanner(pending *pendingRequest) *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[pending.request.ID] != pending && len(pending.replies) > 0 {
		return pending
	}
	delete(c.pending, pending.request.ID)
	now := steady.Now()
	req := pending.requestAt(now)
	req.ID += bypassIDSuffix
	bypassing := newPendingRequest(req, now)
	c.pending[req.ID] = bypassing
	c.localPlanner.Submit(now, req)
	c.sendResults(now)
	return bypassing
}

// await returns the result of a placement request. It returns false if ctx ends, if the peer sent an invalid result,
// with neither plan nor refusal, or if, for a remote planner, no reply comes within plannerTimeout. Once the planner
// has said that the request is queued, only ctx limits the wait.
func (c *Client) await(ctx context.Context, replies chan reply, remote bool) (planner.Result, bool) {
	var timeout <-chan time.Time
	if remote {
		timer := time.NewTimer(plannerTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		select {
		case r := <-replies:
			if !r.queued {
				return r.result, r.result.Plan != nil || r.result.Refusal != nil
			}
			timeout = nil
		case <-timeout:
			return planner.Result{}, false
		case <-ctx.Done():
			return planner.Result{}, false
		}
	}
}

// sendResults sends the results on which the local planner can decide now to the hosts that requested them.
func (c *Client) sendResults(now time.Time) {
	for _, e := range c.localPlanner.TakeExclusions() {
		c.Metrics.Counter("replica_exclusions").Inc(1)
		c.Log.Warn("replica_excluded", slog.String("replica", e.Replica), slog.String("reported_by", e.Host),
			slog.Bool("for_all_hosts", e.Common),
			eventlog.Milliseconds("for_ms", e.For))
	}
	for _, result := range c.localPlanner.Decide(now) {
		delete(c.inSubmit, result.Host+"/"+result.ID)
		if result.Host == c.self().String() {
			result.SendBefore = now.Add(planTime(&result))
			c.deliver(result)
			continue
		}
		if p := c.hostLink[result.Host]; p != nil {
			p.link.Send(&link.Message{Result: newLinkResult(now, p, result)})
		}
	}
}

// deliver passes a result to the request that waits for it. If the result is a plan, no request waits for it and the
// request is not placed already, deliver reports the request as canceled, so that the planner frees what it planned.
func (c *Client) deliver(result planner.Result) {
	pending := c.pending[result.ID]
	if pending == nil {
		if result.Plan != nil && c.placed[result.ID] == nil {
			c.reportEnded(link.Progress{ID: result.ID, Outcome: planner.OutcomeCanceled})
		}
		return
	}
	delete(c.pending, result.ID)
	pending.replies <- reply{result: result}
}

// notifyQueued passes on once that the planner keeps the request with the given id waiting.
func (c *Client) notifyQueued(id string) {
	pending := c.pending[id]
	if pending == nil || pending.queued {
		return
	}
	pending.queued = true
	pending.replies <- reply{queued: true}
}
