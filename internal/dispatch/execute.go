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
	// statusTimeout limits all status queries after one failure together.
	statusTimeout = 500 * time.Millisecond
	// statusRetryInterval is the pause between two status queries.
	statusRetryInterval = 20 * time.Millisecond
)

// attempt is one attempt to run a prompt on one backend server.
type attempt struct {
	run           *run
	server        protocol.Server
	owner         engineapi.Owner
	grant         *activeGrant
	assembler     stream.Assembler
	resumes       int             // number of resumes since the last new output
	endFrame      engineapi.Frame // set when the response is complete
	receivedFrame bool            // a frame of this attempt has arrived
}

// execute runs one attempt on the backend server of the grant and returns the grant to its scheduler afterwards. The
// result is a failedAttempt if there is no complete response, else nil.
func (r *run) execute(ctx context.Context, grant *activeGrant) (Result, *failedAttempt) {
	entry, ok := r.d.Fleet.View().Find(grant.server)
	if !ok {
		r.returnGrant(grant, protocol.GrantRelease{})
		return Result{}, r.decide(retry.Failure{Kind: retry.KindConnectRefused, Server: grant.server})
	}
	a := r.newAttempt(entry.Server, grant)
	id := grant.refreshEntry.ID
	r.d.Suspects.Started(time.Now(), grant.server, id, r.job.Workspace, r.grantRequest.Fingerprint, r.runApart)
	failed := a.submitAndRead(ctx, r.submission(grant))
	now := time.Now()
	fin := protocol.GrantRelease{
		OutputTokens: a.assembler.Offset(), CachedTokens: a.endFrame.CachedTokens,
		FirstToken: r.timeToFirstToken,
	}
	if failed != nil {
		fin.Crashed = failed.failure.Kind == retry.KindCrashed
		a.releaseAfterFailure(now, failed)
	} else {
		r.d.Suspects.Completed(now, grant.server, id)
	}
	r.d.Suspects.Ended(now, grant.server, id)
	r.returnGrant(grant, fin)
	if failed != nil {
		return Result{}, failed
	}
	return Result{
		Server:       grant.server,
		OutputTokens: a.assembler.Offset(),
		CachedTokens: a.endFrame.CachedTokens,
		FinishReason: a.endFrame.FinishReason,
	}, nil
}

func (r *run) newAttempt(server protocol.Server, grant *activeGrant) *attempt {
	id := grant.refreshEntry.ID
	return &attempt{
		run:       r,
		server:    server,
		grant:     grant,
		owner:     engineapi.Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt},
		assembler: stream.Assembler{Request: id.Request, Attempt: id.Attempt},
	}
}

func (r *run) submission(grant *activeGrant) engineapi.Submit {
	id := grant.refreshEntry.ID
	return engineapi.Submit{
		Owner:        engineapi.Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt},
		Workspace:    r.job.Workspace,
		Model:        r.job.Model,
		Adapter:      r.job.Adapter,
		Prompt:       r.job.Prompt,
		PromptTokens: r.job.PromptTokens,
		MaxTokens:    r.job.MaxOutputTokens,
		Blocks:       r.grantRequest.Blocks,
		Priority:     -int(r.job.Class),
		ExpiryMS:     time.Until(r.job.Deadline).Milliseconds(),
	}
}

// releaseAfterFailure frees the memory that a failed attempt may have left allocated on the backend server. If nothing
// was sent, it only withdraws the attempt from the tracker of suspects.
func (a *attempt) releaseAfterFailure(now time.Time, failed *failedAttempt) {
	if failed.failure.Sent {
		a.run.d.Releaser.Release(a.server.Name, allocationID(a.owner, engineapi.KindSequence))
		return
	}
	a.run.d.Suspects.Withdraw(now, a.server.Name, a.grant.refreshEntry.ID)
}

// allocationID returns the ID of an allocation of the given engineapi kind.
func allocationID(o engineapi.Owner, kind string) string {
	return o.Request + "." + strconv.FormatUint(uint64(o.Attempt), 10) + "." + kind
}

// submitAndRead submits the prompt and reads the response, and resumes the attempt while the retry policy decides so.
// It returns nil if the response is complete.
func (a *attempt) submitAndRead(ctx context.Context, submit engineapi.Submit) *failedAttempt {
	frames, err := a.run.d.Engines.Submit(ctx, a.server, submit)
	for {
		if err == nil {
			err = a.readFrames(ctx, frames)
			frames.Close()
		}
		if err == nil {
			return nil
		}
		failed := a.run.decide(a.classify(ctx, err))
		action := failed.decision.Action
		if action != retry.ActionResume && action != retry.ActionReadBack || ctx.Err() != nil {
			return failed
		}
		a.resumes++
		a.run.d.Metrics.Counter("resumes").Inc(1)
		wait.For(ctx, failed.decision.Backoff)
		frames, err = a.run.d.Engines.Resume(ctx, a.server, a.owner, a.assembler.Offset())
	}
}

// invalidResponseError reports that the received frames do not form a complete response.
type invalidResponseError struct{ reason stream.Reason }

// Error returns the reason in one line.
func (e *invalidResponseError) Error() string { return "invalid response: " + string(e.reason) }

// deliveryError reports that the caller accepts no more output.
type deliveryError struct{ cause error }

// Error returns the cause in one line.
func (e *deliveryError) Error() string { return "deliver output to the caller: " + e.cause.Error() }

// readFrames delivers the output of frames until the response is complete. It returns nil only then.
func (a *attempt) readFrames(ctx context.Context, frames *engine.Stream) error {
	for {
		event, frame, err := frames.Next(ctx)
		if errors.Is(err, io.EOF) {
			return &invalidResponseError{stream.ReasonLengthMismatch}
		}
		if err != nil {
			return err
		}
		a.receivedFrame = true
		result := a.assembler.Accept(event, frame)
		switch result.Kind {
		case stream.KindDrop:
			a.run.d.Metrics.Counter("frames_dropped").Inc(1)
		case stream.KindBroken:
			return &invalidResponseError{result.Reason}
		case stream.KindDeliver, stream.KindComplete:
			if err := a.deliver(result); err != nil {
				return err
			}
		}
		if result.Kind == stream.KindComplete {
			a.endFrame = frame
			return a.run.deliverBuffered()
		}
	}
}

// deliver passes new output to the caller and records that the prefill has ended if there is any.
func (a *attempt) deliver(result stream.Result) error {
	if result.Tokens > 0 {
		a.resumes = 0
		a.run.d.grants.markPrefilled(a.grant)
	}
	if err := a.run.deliver(result.Text, result.Tokens); err != nil {
		return &deliveryError{err}
	}
	return nil
}

// classify turns the error of an attempt into a failure. After a silent or broken connection it queries the backend
// server over a new connection to find out more.
func (a *attempt) classify(ctx context.Context, err error) retry.Failure {
	f := retry.Failure{Server: a.server.Name, Sent: true, OutputTokens: a.assembler.Offset(), Resumes: a.resumes}
	var failure *engine.Error
	var broken *invalidResponseError
	switch {
	case errors.As(err, &broken):
		f.Kind = retry.KindIncomplete
		if broken.reason == stream.ReasonEngineError {
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
		f.Kind, f.EngineRefusal, f.Sent = retry.KindRefused, failure.Refusal, a.receivedFrame
	case engine.KindNotConnected:
		f.Kind, f.Sent = retry.KindConnectRefused, a.receivedFrame
	case engine.KindTimeout:
		f.Kind = retry.KindSilent
		a.probeServer(ctx, &f)
	default:
		f.Kind = retry.KindBroken
		a.probeServer(ctx, &f)
	}
	return f
}

// probeServer queries whether the backend server still knows the attempt, in which case it sets f.ServerAlive. If the
// process has ended or restarted in the meantime, it sets f.Kind to retry.KindCrashed and reports the crash.
func (a *attempt) probeServer(ctx context.Context, f *retry.Failure) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err := a.queryStatus(ctx)
	var failure *engine.Error
	switch {
	case err == nil:
		f.ServerAlive = true
	case !errors.As(err, &failure):
	case failure.Kind == engine.KindNotConnected, failure.Kind == engine.KindBroken,
		failure.Kind == engine.KindNotFound && a.serverRestarted(ctx):
		f.Kind = retry.KindCrashed
		a.run.d.Suspects.Crashed(time.Now(), a.server.Name)
		a.run.d.Peers.ReportSuspicions()
	}
}

// queryStatus queries the status of the attempt and repeats the query while connections break. A process that is
// shutting down resets new connections, and so does a proxy in front of one that has ended. The process is therefore
// taken to have ended only if all connections break until ctx is done.
func (a *attempt) queryStatus(ctx context.Context) error {
	for {
		_, err := a.run.d.Engines.Status(ctx, a.server, a.owner)
		var failure *engine.Error
		if !errors.As(err, &failure) || failure.Kind != engine.KindBroken {
			return err
		}
		wait.For(ctx, statusRetryInterval)
		if ctx.Err() != nil {
			return err
		}
	}
}

// serverRestarted reports whether the backend server, which does not know the attempt, runs in another process than the
// one that the attempt was sent to. That is so if frames of the attempt have arrived, or if the epoch of the server
// differs from that in the grant.
func (a *attempt) serverRestarted(ctx context.Context) bool {
	if a.receivedFrame {
		return true
	}
	load, err := a.run.d.Engines.Load(ctx, a.server)
	return err == nil && a.grant.epoch != 0 && load.Epoch != a.grant.epoch
}
