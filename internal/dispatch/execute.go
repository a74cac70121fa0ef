package dispatch

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/stream"
	"github.com/turmericshunt/turmericshunt/internal/wait"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	statusTimeout  = 500 * time.Millisecond
	statusInterval = 20 * time.Millisecond
)

// One attempt on one backend server.
type attempt struct {
	run       *run
	server    protocol.Server
	owner     engineapi.Owner
	held      *holding
	assembler stream.Assembler
	resumes   int // since the last new output
	end       engineapi.Frame
	pieces    bool // frames have arrived
}

func (r *run) execute(ctx context.Context, h *holding) (Answer, *setback) {
	entry, ok := r.d.Fleet.View().Find(h.server)
	if !ok {
		r.finish(h, protocol.Finish{})
		return Answer{}, r.setback(retry.Failure{Kind: retry.KindConnectRefused, Server: h.server})
	}
	a := r.newAttempt(entry.Server, h)
	id := h.held.ID
	r.d.Suspects.Started(time.Now(), h.server, id, r.job.Workspace, r.ask.Fingerprint, r.alone)
	back := a.carryOut(ctx, r.submission(h))
	now := time.Now()
	fin := protocol.Finish{OutputTokens: a.assembler.Offset(), CachedTokens: a.end.CachedTokens, FirstToken: r.firstToken}
	if back != nil {
		fin.Crashed = back.failure.Kind == retry.KindCrashed
		a.clean(now, back)
	} else {
		r.d.Suspects.Completed(now, h.server, id)
	}
	r.d.Suspects.Ended(now, h.server, id)
	r.finish(h, fin)
	if back != nil {
		return Answer{}, back
	}
	return Answer{
		Server:       h.server,
		OutputTokens: a.assembler.Offset(),
		CachedTokens: a.end.CachedTokens,
		FinishReason: a.end.FinishReason,
	}, nil
}

func (r *run) newAttempt(server protocol.Server, h *holding) *attempt {
	id := h.held.ID
	return &attempt{
		run:       r,
		server:    server,
		held:      h,
		owner:     engineapi.Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt},
		assembler: stream.Assembler{Request: id.Request, Attempt: id.Attempt},
	}
}

func (r *run) submission(h *holding) engineapi.Submit {
	id := h.held.ID
	return engineapi.Submit{
		Owner:        engineapi.Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt},
		Workspace:    r.job.Workspace,
		Model:        r.job.Model,
		Adapter:      r.job.Adapter,
		Prompt:       r.job.Prompt,
		PromptTokens: r.job.PromptTokens,
		MaxTokens:    r.job.OutputTokens,
		Blocks:       r.ask.Blocks,
		Priority:     -int(r.job.Class),
		ExpiryMS:     time.Until(r.job.Deadline).Milliseconds(),
	}
}

// Frees what a failed attempt may have left on the backend server.
func (a *attempt) clean(now time.Time, back *setback) {
	if back.failure.Sent {
		a.run.d.Releaser.Free(a.server.Name, allocation(a.owner, engineapi.KindSequence))
		return
	}
	a.run.d.Suspects.Withdrawn(now, a.server.Name, a.held.held.ID)
}

func allocation(o engineapi.Owner, kind string) string {
	return o.Request + "." + strconv.FormatUint(uint64(o.Attempt), 10) + "." + kind
}

// Submits the prompt and reads the answer, resuming it as long as the decisions say so.
func (a *attempt) carryOut(ctx context.Context, submit engineapi.Submit) *setback {
	frames, err := a.run.d.Engines.Submit(ctx, a.server, submit)
	for {
		if err == nil {
			err = a.read(ctx, frames)
			frames.Close()
		}
		if err == nil {
			return nil
		}
		back := a.run.setback(a.diagnose(ctx, err))
		action := back.decision.Action
		if action != retry.ActionResume && action != retry.ActionReadBack || ctx.Err() != nil {
			return back
		}
		a.resumes++
		a.run.d.Metrics.Counter("resumes").Inc(1)
		wait.For(ctx, back.decision.Backoff)
		frames, err = a.run.d.Engines.Resume(ctx, a.server, a.owner, a.assembler.Offset())
	}
}

// Says that the frames do not make a whole answer.
type brokenError struct{ reason stream.Reason }

// Error returns the reason.
func (e *brokenError) Error() string { return "answer broken: " + string(e.reason) }

// Says that the caller takes no more output.
type callerError struct{ cause error }

// Error returns the cause.
func (e *callerError) Error() string { return "caller: " + e.cause.Error() }

func (a *attempt) read(ctx context.Context, frames *engine.Stream) error {
	for {
		event, frame, err := frames.Next(ctx)
		if errors.Is(err, io.EOF) {
			return &brokenError{stream.ReasonLength}
		}
		if err != nil {
			return err
		}
		a.pieces = true
		result := a.assembler.Accept(event, frame)
		switch result.Kind {
		case stream.KindDrop:
			a.run.d.Metrics.Counter("frames_dropped").Inc(1)
		case stream.KindBroken:
			return &brokenError{result.Reason}
		case stream.KindDeliver, stream.KindComplete:
			if err := a.take(result); err != nil {
				return err
			}
		}
		if result.Kind == stream.KindComplete {
			a.end = frame
			return a.run.complete()
		}
	}
}

func (a *attempt) take(result stream.Result) error {
	if result.Tokens > 0 {
		a.resumes = 0
		a.run.d.holdings.prefilled(a.held)
	}
	if err := a.run.deliver(result.Text, result.Tokens); err != nil {
		return &callerError{err}
	}
	return nil
}

// Finds out what a failure means, asking the backend server over a new connection where it helps.
func (a *attempt) diagnose(ctx context.Context, err error) retry.Failure {
	f := retry.Failure{Server: a.server.Name, Sent: true, Delivered: a.assembler.Offset(), Resumes: a.resumes}
	var failure *engine.Error
	var broken *brokenError
	switch {
	case errors.As(err, &broken):
		f.Kind = retry.KindIncomplete
		if broken.reason == stream.ReasonEngine {
			f.Kind = retry.KindEngineError
		}
		f.ServerAlive = true
		return f
	case !errors.As(err, &failure):
		f.Kind = retry.KindBroken
		return f
	}
	switch failure.Kind {
	case engine.KindRefused:
		f.Kind, f.Engine, f.Sent = retry.KindRefused, failure.Refusal, a.pieces
	case engine.KindConnect:
		f.Kind, f.Sent = retry.KindConnectRefused, a.pieces
	case engine.KindSilent:
		f.Kind = retry.KindSilent
		a.inquire(ctx, &f)
	default:
		f.Kind = retry.KindBroken
		a.inquire(ctx, &f)
	}
	return f
}

// Asks whether the backend server still knows the attempt, or whether its process has ended in the meantime.
func (a *attempt) inquire(ctx context.Context, f *retry.Failure) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err := a.askStatus(ctx)
	var failure *engine.Error
	switch {
	case err == nil:
		f.ServerAlive = true
	case !errors.As(err, &failure):
	case failure.Kind == engine.KindConnect, failure.Kind == engine.KindBroken,
		failure.Kind == engine.KindNotFound && a.restarted(ctx):
		f.Kind = retry.KindCrashed
		a.run.d.Suspects.Crashed(time.Now(), a.server.Name)
		a.run.d.Peers.TellSuspicions()
	}
}

// A process that is ending resets new connections too, and so does what stands before one that has ended; only if all
// of them break for the whole time is the process taken to be gone.
func (a *attempt) askStatus(ctx context.Context) error {
	for {
		_, err := a.run.d.Engines.Status(ctx, a.server, a.owner)
		var failure *engine.Error
		if !errors.As(err, &failure) || failure.Kind != engine.KindBroken {
			return err
		}
		wait.For(ctx, statusInterval)
		if ctx.Err() != nil {
			return err
		}
	}
}

func (a *attempt) restarted(ctx context.Context) bool {
	if a.pieces {
		return true
	}
	load, err := a.run.d.Engines.Load(ctx, a.server)
	return err == nil && a.held.epoch != 0 && load.Epoch != a.held.epoch
}
