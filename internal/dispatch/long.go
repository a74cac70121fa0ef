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

// Events of one chain that may wait to be taken in.
const chainEvents = 64

// A plan for which there is no room is made again after this time.
const planInterval = 100 * time.Millisecond

const (
	reserveTimeout = 2 * time.Second
	exportTimeout  = 5 * time.Second
)

// Runs one prompt over several engines as a longprompt.Chain decides.
type chainRun struct {
	run       *run
	plan      *longprompt.Chain
	events    chan chainEvent
	parts     sync.WaitGroup
	mu        sync.Mutex
	holdings  []*holding // guarded by mu
	assembler stream.Assembler
	end       engineapi.Frame
	over      *longprompt.Action // the decision to give up
	whole     bool
}

// Tells the decisions what happened.
type chainEvent func(now time.Time) []longprompt.Action

func (r *run) runLong(ctx context.Context) (Answer, *setback) {
	members, err := r.plan(ctx)
	if err != nil {
		return Answer{}, r.setback(planFailure(err))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &chainRun{
		run:       r,
		events:    make(chan chainEvent, chainEvents),
		assembler: stream.Assembler{Request: r.ask.ID.Request, Attempt: r.ask.ID.Attempt},
		plan: &longprompt.Chain{Reservation: longprompt.Reservation{
			ID: r.ask.ID, Members: members, Deadline: r.job.Deadline, Expiry: time.Until(r.job.Deadline),
		}},
	}
	c.started()
	c.follow(ctx)
	cancel()
	c.parts.Wait()
	c.ended()
	if !c.whole {
		return Answer{}, r.setback(c.failure())
	}
	return Answer{
		Server:       members[len(members)-1].Server,
		OutputTokens: c.assembler.Offset(),
		FinishReason: c.end.FinishReason,
	}, nil
}

// Waits in the order of arrival until the engines have room, or the plan says that there is no time left.
func (r *run) plan(ctx context.Context) ([]longprompt.Member, error) {
	if err := r.d.long.wait(ctx); err != nil {
		return nil, err
	}
	defer r.d.long.pass()
	for {
		ask := r.ask
		ask.TimeLeft = time.Until(r.job.Deadline)
		members, err := r.d.Planner.Plan(time.Now(), r.d.Fleet.View(), ask)
		var failure *longprompt.Error
		if !errors.As(err, &failure) || failure.Kind != longprompt.KindNow {
			return members, err
		}
		wait.For(ctx, planInterval)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

func planFailure(err error) retry.Failure {
	f := retry.Failure{Kind: retry.KindNoGrant, Grant: protocol.RefusalBusy}
	var failure *longprompt.Error
	if errors.As(err, &failure) {
		switch failure.Kind {
		case longprompt.KindNever:
			f.Grant = protocol.RefusalMemory
		case longprompt.KindDown:
			f.Grant = protocol.RefusalUnhealthy
		case longprompt.KindTime:
			f.Grant = protocol.RefusalDeadline
		case longprompt.KindModel:
			f.Grant = protocol.RefusalModel
		}
	}
	return f
}

// Tells the ledger of suspects that the prompt is in flight on all members.
func (c *chainRun) started() {
	r := c.run
	for _, m := range c.plan.Members {
		r.d.Suspects.Started(time.Now(), m.Server, r.ask.ID, r.job.Workspace, r.ask.Fingerprint, r.alone)
	}
}

func (c *chainRun) ended() {
	r := c.run
	now := time.Now()
	for _, m := range c.plan.Members {
		if c.whole {
			r.d.Suspects.Completed(now, m.Server, r.ask.ID)
		}
		r.d.Suspects.Ended(now, m.Server, r.ask.ID)
	}
	for _, h := range c.holdings {
		r.finish(h, protocol.Finish{})
	}
}

func (c *chainRun) failure() retry.Failure {
	f := retry.Failure{Kind: retry.KindEngineError, Sent: true, Delivered: c.assembler.Offset()}
	if c.over == nil {
		return f
	}
	f.RetryAfter = c.over.RetryAfter
	switch c.over.Reason {
	case longprompt.ReasonMemory:
		return retry.Failure{Kind: retry.KindNoGrant, Grant: protocol.RefusalBusy, RetryAfter: c.over.RetryAfter}
	case longprompt.ReasonRefused:
		return retry.Failure{Kind: retry.KindNoGrant, Grant: protocol.RefusalUnhealthy, RetryAfter: c.over.RetryAfter}
	case longprompt.ReasonMember:
		f.Kind = retry.KindSilent
	}
	return f
}

// Takes in events and carries out actions until the chain has ended.
func (c *chainRun) follow(ctx context.Context) {
	c.perform(ctx, c.plan.Start(time.Now()))
	for c.over == nil && !c.whole {
		timer := time.NewTimer(c.untilTick())
		select {
		case event := <-c.events:
			c.perform(ctx, event(time.Now()))
		case <-timer.C:
			c.perform(ctx, c.plan.Tick(time.Now()))
		case <-ctx.Done():
			c.perform(ctx, c.plan.Canceled(time.Now()))
			c.over = &longprompt.Action{Kind: longprompt.ActionGiveUp, Reason: longprompt.ReasonDeadline}
		}
		timer.Stop()
	}
}

func (c *chainRun) untilTick() time.Duration {
	next := c.plan.Next()
	if next.IsZero() {
		return time.Second
	}
	return max(time.Until(next), time.Millisecond)
}

func (c *chainRun) perform(ctx context.Context, actions []longprompt.Action) {
	for _, a := range actions {
		switch a.Kind {
		case longprompt.ActionReserve:
			c.parts.Go(func() { c.reserve(ctx, a) })
		case longprompt.ActionRelease:
			c.run.d.Releaser.Free(a.Member.Server, a.Allocation)
		case longprompt.ActionPrefill:
			c.parts.Go(func() { c.prefill(ctx, a) })
		case longprompt.ActionExport:
			c.parts.Go(func() { c.export(ctx, a) })
		case longprompt.ActionDecode:
			c.parts.Go(func() { c.decode(ctx, a) })
		case longprompt.ActionGiveUp:
			c.over = &a
		}
	}
}

// Hands an event to the loop unless the chain has ended.
func (c *chainRun) post(ctx context.Context, event chainEvent) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

func (c *chainRun) reserve(ctx context.Context, a longprompt.Action) {
	name := a.Member.Server
	refused := c.claim(ctx, a.Member)
	if refused != "" {
		c.post(ctx, func(now time.Time) []longprompt.Action { return c.plan.Refused(now, name, refused) })
		return
	}
	call, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	_, err := c.run.d.Engines.Reserve(call, c.server(a.Member), engineapi.Reserve{
		Owner:    c.owner(),
		Model:    c.run.job.Model,
		Bytes:    a.Member.Bytes,
		ExpiryMS: time.Until(c.run.job.Deadline).Milliseconds(),
	})
	c.post(ctx, func(now time.Time) []longprompt.Action { return c.reserved(now, name, err) })
}

func (c *chainRun) reserved(now time.Time, name string, err error) []longprompt.Action {
	var failure *engine.Error
	switch {
	case err == nil:
		return c.plan.Reserved(now, name)
	case errors.As(err, &failure) && failure.Kind == engine.KindRefused:
		return c.plan.Refused(now, name, failure.Refusal)
	default:
		return c.plan.Failed(now, name)
	}
}

// Tells the member's scheduler of the reservation, so that it counts the memory; without a scheduler the
// engine's own limit decides.
func (c *chainRun) claim(ctx context.Context, m longprompt.Member) string {
	r := c.run
	entry, ok := r.d.Fleet.View().Find(m.Server)
	if !ok || entry.Scheduler.Name == "" {
		return ""
	}
	candidate := routing.Candidate{Server: m.Server, Scheduler: entry.Scheduler}
	ask := r.ask
	ask.Bytes = m.Bytes
	ask.PromptTokens = m.Tokens
	ask.Blocks = nil
	g, refused, err := r.askNow(ctx, candidate, ask)
	switch {
	case err != nil:
		return ""
	case refused != nil && refused.Kind == protocol.RefusalBusy:
		return engineapi.RefusalMemory
	case refused != nil && refused.Kind == protocol.RefusalNotOwner:
		return ""
	case refused != nil:
		return engineapi.RefusalLeaving
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdings = append(c.holdings, r.hold(candidate, ask, g))
	return ""
}

func (c *chainRun) prefill(ctx context.Context, a longprompt.Action) {
	name := a.Member.Server
	err := c.runPart(ctx, a, true)
	c.post(ctx, func(now time.Time) []longprompt.Action {
		if err != nil {
			return c.plan.StepFailed(now, name)
		}
		return c.plan.Prefilled(now, name)
	})
}

func (c *chainRun) decode(ctx context.Context, a longprompt.Action) {
	name := a.Member.Server
	err := c.runPart(ctx, a, false)
	c.post(ctx, func(now time.Time) []longprompt.Action {
		if err != nil {
			return c.plan.StepFailed(now, name)
		}
		c.whole = true
		return c.plan.Done(now)
	})
}

func (c *chainRun) export(ctx context.Context, a longprompt.Action) {
	name := a.Member.Server
	call, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	exported, err := c.run.d.Engines.Export(call, c.server(a.Member), c.owner(), time.Until(c.run.job.Deadline))
	c.post(ctx, func(now time.Time) []longprompt.Action {
		if err != nil {
			return c.plan.StepFailed(now, name)
		}
		return c.plan.Exported(now, name, exported.ID)
	})
}

// Runs a member's part of the prompt and passes its output on.
func (c *chainRun) runPart(ctx context.Context, a longprompt.Action, prefillOnly bool) error {
	frames, err := c.run.d.Engines.Submit(ctx, c.server(a.Member), c.submission(a, prefillOnly))
	if err != nil {
		return err
	}
	defer frames.Close()
	for {
		event, frame, err := frames.Next(ctx)
		if errors.Is(err, io.EOF) {
			return &brokenError{stream.ReasonLength}
		}
		if err != nil {
			return err
		}
		c.heard(ctx, a.Member.Server)
		if prefillOnly {
			if event == engineapi.FrameEnd {
				return nil
			}
			continue
		}
		done, err := c.take(ctx, event, frame)
		if done || err != nil {
			return err
		}
	}
}

// Only the member that decodes calls it, so that it alone changes the run's output.
func (c *chainRun) take(ctx context.Context, event string, frame engineapi.Frame) (bool, error) {
	result := c.assembler.Accept(event, frame)
	switch result.Kind {
	case stream.KindBroken:
		return false, &brokenError{result.Reason}
	case stream.KindDeliver, stream.KindComplete:
		if err := c.run.deliver(result.Text, result.Tokens); err != nil {
			return false, &callerError{err}
		}
		c.post(ctx, func(now time.Time) []longprompt.Action {
			c.plan.Delivered(now)
			return nil
		})
	}
	if result.Kind != stream.KindComplete {
		return false, nil
	}
	c.end = frame
	return true, c.run.complete()
}

func (c *chainRun) heard(ctx context.Context, server string) {
	c.post(ctx, func(now time.Time) []longprompt.Action {
		c.plan.Heard(now, server)
		return nil
	})
}

func (c *chainRun) submission(a longprompt.Action, prefillOnly bool) engineapi.Submit {
	job := c.run.job
	tokens := a.Member.Tokens
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
		Reservation:  longprompt.AllocationID(c.run.ask.ID, engineapi.KindReservation),
		Imports:      a.Imports,
		PrefillOnly:  prefillOnly,
	}
	if !prefillOnly {
		s.MaxTokens = job.OutputTokens
	}
	return s
}

func (c *chainRun) server(m longprompt.Member) protocol.Server {
	return protocol.Server{Name: m.Server, Address: m.Address}
}

func (c *chainRun) owner() engineapi.Owner {
	id := c.run.ask.ID
	return engineapi.Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt}
}
