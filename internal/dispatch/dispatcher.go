package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/admission"
	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/longprompt"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/quota"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Router lists the backend servers from which to request a grant, best first.
type Router interface {
	Candidates(now time.Time, view *fleet.View, request protocol.GrantRequest, exclude []string) []routing.Candidate
}

// Schedulers sends messages to the hosts that schedule backend servers.
type Schedulers interface {
	// RequestGrant sends a grant request to host. It returns either a grant or a refusal, or an error if the host does not
	// respond.
	RequestGrant(ctx context.Context, host protocol.Host, request protocol.GrantRequest) (*protocol.Grant,
		*protocol.Refusal, error)
	// ReturnGrant returns a grant to the host that issued it, without waiting for a response.
	ReturnGrant(host protocol.Host, finish protocol.GrantRelease)
}

// Engines sends requests to the engines of backend servers.
type Engines interface {
	Submit(ctx context.Context, server protocol.Server, s engineapi.Submit) (*engine.Stream, error)
	Resume(ctx context.Context, server protocol.Server, o engineapi.Owner, offset int64) (*engine.Stream, error)
	Status(ctx context.Context, server protocol.Server, o engineapi.Owner) (engineapi.Status, error)
	Load(ctx context.Context, server protocol.Server) (engineapi.Load, error)
	Reserve(ctx context.Context, server protocol.Server, r engineapi.Reserve) (engineapi.Allocation, error)
	Export(ctx context.Context, server protocol.Server, o engineapi.Owner, expiry time.Duration) (engineapi.Allocation, error)
}

// Peers notifies the other hosts of the failure domain.
type Peers interface {
	// ReportSuspicions reports at once which prompt contents this host suspects of crashing backend servers.
	ReportSuspicions()
}

// Releaser frees memory that was allocated on engines.
type Releaser interface {
	// Release releases an allocation on a backend server and repeats the release until the engine confirms it.
	Release(server, allocation string)
}

// Dispatcher runs prompts on backend servers. It is safe for concurrent use once its fields are set.
type Dispatcher struct {
	Host       protocol.Host
	Fleet      *fleet.Store
	Router     Router
	Schedulers Schedulers
	Engines    Engines
	Retry      *retry.Policy
	Suspects   *suspect.Tracker
	Peers      Peers
	Quota      *quota.Limiter
	Admission  *admission.Controller
	Planner    *longprompt.Planner
	Releaser   Releaser
	Metrics    tally.Scope
	Log        *slog.Logger

	grants        grantTable
	longPlanMutex fifoMutex // held while a prompt that needs several engines is planned
}

// Run admits a prompt and runs it until a response is complete or no further attempt is allowed. It passes the output
// to sink. If it can't deliver a complete response, it returns an *outcome.Error.
func (d *Dispatcher) Run(ctx context.Context, job *Job, sink Sink) (Result, error) {
	now := time.Now()
	r := &run{d: d, job: job, sink: sink, started: now, grantRequest: d.newGrantRequest(job)}
	if d.Suspects.Check(now, job.Workspace, r.grantRequest.Fingerprint) == suspect.Quarantined {
		return Result{}, notRunError("admit", outcome.KindCrashesServer, 0, crashingMessage)
	}
	if v := d.Quota.Admit(now, job.Workspace, job.PromptTokens+job.MaxOutputTokens); !v.OK {
		return Result{}, notRunError("admit", outcome.KindWorkspaceLimit, v.RetryAfter, "the workspace is at its limit")
	}
	defer func() { d.Quota.Done(time.Now(), job.Workspace, r.usedTokens()) }()
	r.grantRequest.TimeLeft = time.Until(job.Deadline)
	if v := d.Admission.Decide(now, d.Fleet.View(), r.grantRequest); !v.OK {
		return Result{}, notRunError("admit", v.Kind, v.RetryAfter, "the request would not finish within its time")
	}
	d.Retry.RecordRequest(now, job.Workspace)
	result, err := r.runAttempts(ctx)
	if err != nil {
		return Result{}, err
	}
	d.Retry.RecordSuccess(time.Now(), job.Workspace)
	return result, nil
}

// GrantRefreshes returns the grants that attempts of this host use, grouped by backend server and sorted by its name.
// The host sends them to the schedulers again and again.
func (d *Dispatcher) GrantRefreshes() []protocol.Refresh { return d.grants.refreshes(time.Now()) }

// newGrantRequest returns the part of a grant request that is the same for all attempts and backend servers.
func (d *Dispatcher) newGrantRequest(job *Job) protocol.GrantRequest {
	blockBytes := max(int(int64(len(job.Prompt))*engineapi.BlockTokens/max(job.PromptTokens, 1)), 1)
	return protocol.GrantRequest{
		ID:           protocol.AttemptID{Host: d.Host.Name, Incarnation: d.Host.Incarnation, Request: job.RequestID},
		Workspace:    job.Workspace,
		Model:        job.Model,
		Class:        job.Class,
		PromptTokens: job.PromptTokens,
		OutputTokens: job.MaxOutputTokens,
		Blocks:       routing.HashBlocks(job.Prompt, roundBlockBytes(blockBytes)),
		BlockTokens:  engineapi.BlockTokens,
		Fingerprint:  fingerprint(job),
	}
}

// roundBlockBytes rounds a block size, in bytes, to a multiple of engineapi.BlockTokens. Prompts whose ratios of bytes
// to tokens differ slightly get the same block size that way; only then do they share prefixes.
func roundBlockBytes(bytes int) int {
	const step = engineapi.BlockTokens
	return max((bytes+step/2)/step, 1) * step
}

// fingerprint hashes the model, the adapter and the prompt. Package suspect uses it to identify the prompt content.
func fingerprint(job *Job) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(job.Model)
	_, _ = digest.WriteString(job.Adapter)
	_, _ = digest.WriteString(job.Prompt)
	return digest.Sum64()
}

// notRunError returns the error for a request that is refused before any attempt.
func notRunError(op string, kind outcome.Kind, retryAfter time.Duration, message string) *outcome.Error {
	return &outcome.Error{Op: op, Kind: kind, Outcome: outcome.NotRun, Message: message, RetryAfter: retryAfter}
}

// callerDisconnected reports whether the caller has disconnected, so that nobody reads the response.
func callerDisconnected(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
