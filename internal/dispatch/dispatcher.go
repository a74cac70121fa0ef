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

// Router picks the backend servers to ask for a grant, the best first.
type Router interface {
	Candidates(now time.Time, view *fleet.View, ask protocol.Ask, exclude []string) []routing.Candidate
}

// Schedulers reaches the hosts that schedule backend servers.
type Schedulers interface {
	// Ask returns a grant or a refusal, or an error when the host does not answer.
	Ask(ctx context.Context, host protocol.Host, ask protocol.Ask) (*protocol.Grant, *protocol.Refusal, error)
	// Finish gives a grant back without waiting for the answer.
	Finish(host protocol.Host, fin protocol.Finish)
}

// Engines runs attempts on engines.
type Engines interface {
	Submit(ctx context.Context, server protocol.Server, s engineapi.Submit) (*engine.Stream, error)
	Resume(ctx context.Context, server protocol.Server, o engineapi.Owner, offset int64) (*engine.Stream, error)
	Status(ctx context.Context, server protocol.Server, o engineapi.Owner) (engineapi.Status, error)
	Load(ctx context.Context, server protocol.Server) (engineapi.Load, error)
	Reserve(ctx context.Context, server protocol.Server, r engineapi.Reserve) (engineapi.Allocation, error)
	Export(ctx context.Context, server protocol.Server, o engineapi.Owner, expiry time.Duration) (engineapi.Allocation, error)
}

// Peers tells the other hosts of the failure domain at once what this host suspects.
type Peers interface {
	TellSuspicions()
}

// Releaser frees engine memory until the engine confirms.
type Releaser interface {
	Free(server, allocation string)
}

// Dispatcher runs prompts on backend servers; it is safe for concurrent use after its fields are set.
type Dispatcher struct {
	Host       protocol.Host
	Fleet      *fleet.Table
	Router     Router
	Schedulers Schedulers
	Engines    Engines
	Retry      *retry.Policy
	Suspects   *suspect.Ledger
	Peers      Peers
	Quota      *quota.Limiter
	Admission  *admission.Controller
	Planner    *longprompt.Planner
	Releaser   Releaser
	Metrics    tally.Scope
	Log        *slog.Logger

	holdings holdings
	long     turns // of prompts that need several engines
}

// Run admits and runs a prompt, and returns an *outcome.Error when there is no whole answer.
func (d *Dispatcher) Run(ctx context.Context, job *Job, sink Sink) (Answer, error) {
	now := time.Now()
	r := &run{d: d, job: job, sink: sink, began: now, ask: d.newAsk(job)}
	if d.Suspects.Check(now, job.Workspace, r.ask.Fingerprint) == suspect.Condemned {
		return Answer{}, refusal("admit", outcome.KindCrashing, 0, crashingMessage)
	}
	if v := d.Quota.Admit(now, job.Workspace, job.PromptTokens+job.OutputTokens); !v.OK {
		return Answer{}, refusal("admit", outcome.KindQuota, v.RetryAfter, "the workspace is at its limit")
	}
	defer func() { d.Quota.Done(time.Now(), job.Workspace, r.usedTokens()) }()
	r.ask.TimeLeft = time.Until(job.Deadline)
	if v := d.Admission.Decide(now, d.Fleet.View(), r.ask); !v.OK {
		return Answer{}, refusal("admit", v.Kind, v.RetryAfter, "the request would not finish within its time")
	}
	d.Retry.Began(now, job.Workspace)
	answer, err := r.loop(ctx)
	if err != nil {
		return Answer{}, err
	}
	d.Retry.Succeeded(time.Now(), job.Workspace)
	return answer, nil
}

// Refreshes lists the grants in use by backend server, to be repeated to their schedulers.
func (d *Dispatcher) Refreshes() []protocol.Refresh { return d.holdings.refreshes(time.Now()) }

func (d *Dispatcher) newAsk(job *Job) protocol.Ask {
	blockBytes := max(int(int64(len(job.Prompt))*engineapi.BlockTokens/max(job.PromptTokens, 1)), 1)
	return protocol.Ask{
		ID:           protocol.AttemptID{Host: d.Host.Name, Incarnation: d.Host.Incarnation, Request: job.RequestID},
		Workspace:    job.Workspace,
		Model:        job.Model,
		Class:        job.Class,
		PromptTokens: job.PromptTokens,
		OutputTokens: job.OutputTokens,
		Blocks:       routing.Blocks(job.Prompt, roundBlock(blockBytes)),
		BlockTokens:  engineapi.BlockTokens,
		Fingerprint:  fingerprint(job),
	}
}

// Prompts of nearly the same ratio of bytes to tokens must have blocks of the same size to share prefixes.
func roundBlock(bytes int) int {
	const step = engineapi.BlockTokens
	return max((bytes+step/2)/step, 1) * step
}

func fingerprint(job *Job) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(job.Model)
	_, _ = digest.WriteString(job.Adapter)
	_, _ = digest.WriteString(job.Prompt)
	return digest.Sum64()
}

func refusal(op string, kind outcome.Kind, retryAfter time.Duration, message string) *outcome.Error {
	return &outcome.Error{Op: op, Kind: kind, Outcome: outcome.NotRun, Message: message, RetryAfter: retryAfter}
}

// Says whether the caller has left, in which case nobody reads the answer.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
