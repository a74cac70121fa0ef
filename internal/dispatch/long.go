package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/longprompt"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/stream"
	"github.com/turmericshunt/turmericshunt/internal/wait"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// eventBufferSize is the number of events of one chain that may wait to be handled.
const eventBufferSize = 64

// planRetryInterval is the time after which a prompt is planned again if the engines had too little free memory.
const planRetryInterval = 100 * time.Millisecond

const (
	reserveTimeout = 2 * time.Second
	exportTimeout  = 5 * time.Second
)

// chainRun runs one prompt over several engines. It performs the actions that a longprompt.Chain decides on.
type chainRun struct {
	run       *run
	chain     *longprompt.Chain
	events    chan chainEvent
	tasks     sync.WaitGroup // goroutines that perform actions
	mu        sync.Mutex
	grants    []*activeGrant // guarded by mu
	assembler stream.Assembler
	endFrame  engineapi.Frame    // set when the response is complete
	giveUp    *longprompt.Action // set when the chain has given up
	completed bool               // the response is complete
}

// chainEvent notifies the chain of something that happened and returns the actions that follow. It is called by the
// event loop alone.
type chainEvent func(now time.Time) []longprompt.Action

// runLong runs one attempt of a prompt that fits no single engine.
func (r *run) runLong(ctx context.Context) (Result, *failedAttempt) {
	members, err := r.plan(ctx)
	if err != nil {
		return Result{}, r.decide(planFailure(err))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &chainRun{
		run:       r,
		events:    make(chan chainEvent, eventBufferSize),
		assembler: stream.Assembler{Request: r.grantRequest.ID.Request, Attempt: r.grantRequest.ID.Attempt},
		chain: &longprompt.Chain{Reservation: longprompt.Reservation{
			ID: r.grantRequest.ID, Members: members, Deadline: r.job.Deadline, Expiry: time.Until(r.job.Deadline),
		}},
	}
	c.recordStart()
	c.runEventLoop(ctx)
	cancel()
	c.tasks.Wait()
	c.recordEnd()
	if !c.completed {
		return Result{}, r.decide(c.failure())
	}
	return Result{
		Server:       members[len(members)-1].Server,
		OutputTokens: c.assembler.Offset(),
		FinishReason: c.endFrame.FinishReason,
	}, nil
}

// plan chooses the engines for the prompt. If they have too little free memory at the moment, it tries again until they
// have enough, the planner returns another error or ctx is done. Prompts are planned one at a time, in the order of
// their arrival.
func (r *run) plan(ctx context.Context) ([]longprompt.Member, error) {
	if err := r.d.longPlanMutex.lock(ctx); err != nil {
		return nil, err
	}
	defer r.d.longPlanMutex.unlock()
	for {
		request := r.grantRequest
		request.TimeLeft = time.Until(r.job.Deadline)
		members, err := r.d.Planner.Plan(time.Now(), r.d.Fleet.View(), request)
		var failure *longprompt.Error
		if !errors.As(err, &failure) || failure.Kind != longprompt.KindNoFreeMemory {
			return members, err
		}
		wait.For(ctx, planRetryInterval)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// planFailure returns the failure for an error of plan.
func planFailure(err error) retry.Failure {
	f := retry.Failure{Kind: retry.KindNoGrant, GrantRefusal: protocol.RefusalBusy}
	var failure *longprompt.Error
	if errors.As(err, &failure) {
		switch failure.Kind {
		case longprompt.KindTooLarge:
			f.GrantRefusal = protocol.RefusalMemory
		case longprompt.KindUnhealthy:
			f.GrantRefusal = protocol.RefusalUnhealthy
		case longprompt.KindTooSlow:
			f.GrantRefusal = protocol.RefusalDeadline
		case longprompt.KindModelNotLoaded:
			f.GrantRefusal = protocol.RefusalModel
		}
	}
	return f
}

// recordStart notifies the tracker of suspects that the prompt is in flight on all members.
func (c *chainRun) recordStart() {
	r := c.run
	for _, m := range c.chain.Members {
		r.d.Suspects.Started(time.Now(), m.Server, r.grantRequest.ID, r.job.Workspace, r.grantRequest.Fingerprint, r.runApart)
	}
}

// recordEnd notifies the tracker of suspects that the attempt has ended on all members, and returns the grants to their
// schedulers.
func (c *chainRun) recordEnd() {
	r := c.run
	now := time.Now()
	for _, m := range c.chain.Members {
		if c.completed {
			r.d.Suspects.Completed(now, m.Server, r.grantRequest.ID)
		}
		r.d.Suspects.Ended(now, m.Server, r.grantRequest.ID)
	}
	for _, grant := range c.grants {
		r.returnGrant(grant, protocol.GrantRelease{})
	}
}

// failure returns why the chain has ended without a complete response.
func (c *chainRun) failure() retry.Failure {
	f := retry.Failure{Kind: retry.KindEngineError, Sent: true, OutputTokens: c.assembler.Offset()}
	if c.giveUp == nil {
		return f
	}
	f.RetryAfter = c.giveUp.RetryAfter
	switch c.giveUp.Reason {
	case longprompt.ReasonMemory:
		return retry.Failure{Kind: retry.KindNoGrant, GrantRefusal: protocol.RefusalBusy, RetryAfter: c.giveUp.RetryAfter}
	case longprompt.ReasonRefused:
		return retry.Failure{
			Kind: retry.KindNoGrant, GrantRefusal: protocol.RefusalUnhealthy,
			RetryAfter: c.giveUp.RetryAfter,
		}
	case longprompt.ReasonMemberFailed:
		f.Kind = retry.KindSilent
	}
	return f
}

// runEventLoop handles events and performs the actions that follow, until the response is complete or the chain has
// given up.
func (c *chainRun) runEventLoop(ctx context.Context) {
	c.perform(ctx, c.chain.Start(time.Now()))
	for c.giveUp == nil && !c.completed {
		timer := time.NewTimer(c.timeToNextTick())
		select {
		case event := <-c.events:
			c.perform(ctx, event(time.Now()))
		case <-timer.C:
			c.perform(ctx, c.chain.Tick(time.Now()))
		case <-ctx.Done():
			c.perform(ctx, c.chain.Canceled(time.Now()))
			c.giveUp = &longprompt.Action{Kind: longprompt.ActionGiveUp, Reason: longprompt.ReasonDeadline}
		}
		timer.Stop()
	}
}

// timeToNextTick returns the time until the chain is due for a tick; if it is due for none, one second.
func (c *chainRun) timeToNextTick() time.Duration {
	next := c.chain.Next()
	if next.IsZero() {
		return time.Second
	}
	return max(time.Until(next), time.Millisecond)
}

// perform starts the actions. Those that wait for an engine run in goroutines of their own.
func (c *chainRun) perform(ctx context.Context, actions []longprompt.Action) {
	for _, a := range actions {
		switch a.Kind {
		case longprompt.ActionReserve:
			c.tasks.Go(func() { c.reserve(ctx, a) })
		case longprompt.ActionRelease:
			c.run.d.Releaser.Release(a.Member.Server, a.Allocation)
		case longprompt.ActionPrefill:
			c.tasks.Go(func() { c.prefill(ctx, a) })
		case longprompt.ActionExport:
			c.tasks.Go(func() { c.export(ctx, a) })
		case longprompt.ActionDecode:
			c.tasks.Go(func() { c.decode(ctx, a) })
		case longprompt.ActionGiveUp:
			c.giveUp = &a
		}
	}
}

// post passes an event to the event loop. It drops the event if ctx is done, as it is once the chain has ended.
func (c *chainRun) post(ctx context.Context, event chainEvent) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// reserve requests a grant for a member and reserves memory on its engine.
func (c *chainRun) reserve(ctx context.Context, a longprompt.Action) {
	name := a.Member.Server
	refusal := c.requestGrant(ctx, a.Member)
	if refusal != "" {
		c.post(ctx, func(now time.Time) []longprompt.Action { return c.chain.Refused(now, name, refusal) })
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	_, err := c.run.d.Engines.Reserve(callCtx, c.server(a.Member), engineapi.Reserve{
		Owner:    c.owner(),
		Model:    c.run.job.Model,
		Bytes:    a.Member.Bytes,
		ExpiryMS: time.Until(c.run.job.Deadline).Milliseconds(),
	})
	c.post(ctx, func(now time.Time) []longprompt.Action { return c.recordReservation(now, name, err) })
}

// recordReservation notifies the chain of the result of a reservation.
func (c *chainRun) recordReservation(now time.Time, name string, err error) []longprompt.Action {
	var failure *engine.Error
	switch {
	case err == nil:
		return c.chain.Reserved(now, name)
	case errors.As(err, &failure) && failure.Kind == engine.KindRefused:
		return c.chain.Refused(now, name, failure.Refusal)
	default:
		return c.chain.Failed(now, name)
	}
}

// requestGrant requests a grant for the reservation from the scheduler of the member, so that the scheduler accounts
// for the memory. It returns an engineapi refusal kind, or "" if the reservation may be sent to the engine. If no
// scheduler responds, or the host does not schedule the backend server, it returns "" too: then the limit of the engine
// decides.
func (c *chainRun) requestGrant(ctx context.Context, m longprompt.Member) string {
	r := c.run
	entry, ok := r.d.Fleet.View().Find(m.Server)
	if !ok || entry.Scheduler.Name == "" {
		return ""
	}
	candidate := routing.Candidate{Server: m.Server, Scheduler: entry.Scheduler}
	request := r.grantRequest
	request.Bytes = m.Bytes
	request.PromptTokens = m.PromptTokens
	request.Blocks = nil
	g, refusal, err := r.requestGrantNow(ctx, candidate, request)
	switch {
	case err != nil:
		return ""
	case refusal != nil && refusal.Kind == protocol.RefusalBusy:
		return engineapi.RefusalMemory
	case refusal != nil && refusal.Kind == protocol.RefusalNotOwner:
		return ""
	case refusal != nil:
		return engineapi.RefusalLeaving
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants = append(c.grants, r.recordGrant(candidate, request, g))
	return ""
}

// prefill runs the prefill of a member's part of the prompt.
func (c *chainRun) prefill(ctx context.Context, a longprompt.Action) {
	name := a.Member.Server
	err := c.runPart(ctx, a, true)
	c.post(ctx, func(now time.Time) []longprompt.Action {
		if err != nil {
			return c.chain.PartFailed(now, name)
		}
		return c.chain.Prefilled(now, name)
	})
}

// decode runs the last part of the prompt and produces the output.
func (c *chainRun) decode(ctx context.Context, a longprompt.Action) {
	name := a.Member.Server
	err := c.runPart(ctx, a, false)
	c.post(ctx, func(now time.Time) []longprompt.Action {
		if err != nil {
			return c.chain.PartFailed(now, name)
		}
		c.completed = true
		return c.chain.Completed(now)
	})
}

// export makes the prefilled part of a member available to the members after it.
func (c *chainRun) export(ctx context.Context, a longprompt.Action) {
	name := a.Member.Server
	callCtx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	exported, err := c.run.d.Engines.Export(callCtx, c.server(a.Member), c.owner(), time.Until(c.run.job.Deadline))
	c.post(ctx, func(now time.Time) []longprompt.Action {
		if err != nil {
			return c.chain.PartFailed(now, name)
		}
		return c.chain.Exported(now, name, exported.ID)
	})
}

// runPart runs a member's part of the prompt and, unless prefillOnly is set, passes the output to the caller.
func (c *chainRun) runPart(ctx context.Context, a longprompt.Action, prefillOnly bool) error {
	frames, err := c.run.d.Engines.Submit(ctx, c.server(a.Member), c.submission(a, prefillOnly))
	if err != nil {
		return err
	}
	defer frames.Close()
	for {
		event, frame, err := frames.Next(ctx)
		if errors.Is(err, io.EOF) {
			return &invalidResponseError{stream.ReasonLengthMismatch}
		}
		if err != nil {
			return err
		}
		c.postSignOfLife(ctx, a.Member.Server)
		if prefillOnly {
			if event == engineapi.FrameEnd {
				return nil
			}
			continue
		}
		done, err := c.deliver(ctx, event, frame)
		if done || err != nil {
			return err
		}
	}
}

// deliver passes the output of a frame to the caller and reports whether the response is complete. It is called only
// for the member that decodes; so there is a single writer of the output fields of the run.
func (c *chainRun) deliver(ctx context.Context, event string, frame engineapi.Frame) (bool, error) {
	result := c.assembler.Accept(event, frame)
	switch result.Kind {
	case stream.KindBroken:
		return false, &invalidResponseError{result.Reason}
	case stream.KindDeliver, stream.KindComplete:
		if err := c.run.deliver(result.Text, result.Tokens); err != nil {
			return false, &deliveryError{err}
		}
		c.post(ctx, func(now time.Time) []longprompt.Action {
			c.chain.Delivered(now)
			return nil
		})
	}
	if result.Kind != stream.KindComplete {
		return false, nil
	}
	c.endFrame = frame
	return true, c.run.deliverBuffered()
}

// postSignOfLife notifies the chain that a frame from the backend server has arrived.
func (c *chainRun) postSignOfLife(ctx context.Context, server string) {
	c.post(ctx, func(now time.Time) []longprompt.Action {
		c.chain.RecordActivity(now, server)
		return nil
	})
}

func (c *chainRun) submission(a longprompt.Action, prefillOnly bool) engineapi.Submit {
	job := c.run.job
	tokens := a.Member.PromptTokens
	for _, i := range a.Imports {
		tokens += i.Tokens
	}
	s := engineapi.Submit{
		Owner:        c.owner(),
		Workspace:    job.Workspace,
		Model:        job.Model,
		Adapter:      job.Adapter,
		Prompt:       job.Prompt,
		PromptTokens: tokens,
		ExpiryMS:     time.Until(job.Deadline).Milliseconds(),
		Priority:     -int(job.Class),
		Reservation:  longprompt.AllocationID(c.run.grantRequest.ID, engineapi.KindReservation),
		Imports:      a.Imports,
		PrefillOnly:  prefillOnly,
	}
	if !prefillOnly {
		s.MaxTokens = job.MaxOutputTokens
	}
	return s
}

func (c *chainRun) server(m longprompt.Member) protocol.Server {
	return protocol.Server{Name: m.Server, Address: m.Address}
}

func (c *chainRun) owner() engineapi.Owner {
	id := c.run.grantRequest.ID
	return engineapi.Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt}
}
