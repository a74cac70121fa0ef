package dispatch

import (
	"context"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

// immediateGrantTimeout is how long a scheduler has to respond to a grant request that does not wait in its queue.
const immediateGrantTimeout = 500 * time.Millisecond

// ungrantedExpiry is the time after which an attempt without a grant expires, unless the deadline of the request comes
// first.
const ungrantedExpiry = 5 * time.Minute

// suspectRetryInterval is the time after which a suspect requests a grant again if each backend server runs another
// suspect.
const suspectRetryInterval = 100 * time.Millisecond

// obtainGrant obtains a grant. A suspect that is refused because the backend servers run other suspects tries again
// until one of them runs none, or until the time of the request is nearly over.
func (r *run) obtainGrant(ctx context.Context) (*activeGrant, *retry.Failure) {
	began := time.Now()
	defer func() { r.d.Metrics.Timer("queue_wait").Record(time.Since(began)) }()
	for {
		grant, failure := r.tryObtainGrant(ctx)
		if failure == nil || failure.GrantRefusal != protocol.RefusalSuspect ||
			time.Until(r.job.Deadline) < suspectRetryInterval {
			return grant, failure
		}
		wait.For(ctx, suspectRetryInterval)
		if ctx.Err() != nil {
			return nil, failure
		}
	}
}

// tryObtainGrant requests a grant from the schedulers of the candidates, one after the other. If none grants it at
// once, it waits in the queue of the busy candidate with the shortest predicted wait. If no scheduler responds, the
// attempt runs on the first candidate without a grant.
func (r *run) tryObtainGrant(ctx context.Context) (*activeGrant, *retry.Failure) {
	candidates := r.candidates()
	if len(candidates) == 0 {
		return nil, noGrantFailure(protocol.RefusalUnhealthy, 0)
	}
	best := -1
	var bestRefusal protocol.Refusal // of candidates[best], or the last refusal while best is negative
	responded := false
	for i, c := range candidates {
		if c.WithoutGrant {
			continue
		}
		g, refusal, err := r.requestGrantNow(ctx, c, r.grantRequest)
		if err != nil {
			continue
		}
		responded = true
		if g != nil {
			return r.recordGrant(c, r.grantRequest, g), nil
		}
		if refusal.Kind == protocol.RefusalCrashing {
			return nil, noGrantFailure(refusal.Kind, 0)
		}
		if refusal.Kind == protocol.RefusalBusy && (best < 0 || refusal.Wait < bestRefusal.Wait) {
			best, bestRefusal = i, *refusal
		} else if best < 0 {
			bestRefusal = *refusal
		}
	}
	switch {
	case !responded:
		return r.recordUngranted(candidates[0]), nil
	case best < 0:
		return nil, noGrantFailure(bestRefusal.Kind, bestRefusal.RetryAfter)
	}
	return r.waitInQueue(ctx, candidates[best])
}

// candidates returns the backend servers to try, best first, without those that have failed this request.
func (r *run) candidates() []routing.Candidate {
	view := r.d.Fleet.View()
	r.grantRequest.TimeLeft = time.Until(r.job.Deadline)
	candidates := r.d.Router.Candidates(time.Now(), view, r.grantRequest, r.excluded)
	if len(candidates) == 0 && len(r.excluded) > 0 {
		// Each backend server has failed this request once. Allow them all again, since some may have recovered.
		r.excluded = nil
		candidates = r.d.Router.Candidates(time.Now(), view, r.grantRequest, nil)
	}
	return candidates
}

// waitInQueue requests a grant and waits for it in the queue of the candidate's scheduler.
func (r *run) waitInQueue(ctx context.Context, c routing.Candidate) (*activeGrant, *retry.Failure) {
	request := r.grantRequest
	request.MayQueue = true
	g, refusal, err := r.requestGrant(ctx, c, request)
	switch {
	case err != nil:
		return nil, noGrantFailure(protocol.RefusalNotOwner, 0)
	case refusal != nil:
		return nil, noGrantFailure(refusal.Kind, refusal.RetryAfter)
	}
	return r.recordGrant(c, r.grantRequest, g), nil
}

// requestGrantNow requests a grant that the scheduler issues or refuses at once.
func (r *run) requestGrantNow(ctx context.Context, c routing.Candidate,
	request protocol.GrantRequest,
) (*protocol.Grant, *protocol.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, immediateGrantTimeout)
	defer cancel()
	return r.requestGrant(ctx, c, request)
}

// requestGrant sends a grant request for the candidate to its scheduler.
func (r *run) requestGrant(ctx context.Context, c routing.Candidate,
	request protocol.GrantRequest,
) (*protocol.Grant, *protocol.Refusal, error) {
	request.Server = c.Server
	request.TimeLeft = time.Until(r.job.Deadline)
	request.Suspect = r.runApart || r.verdict() == suspect.Suspected
	g, refusal, err := r.d.Schedulers.RequestGrant(ctx, c.Scheduler, request)
	if err != nil {
		// The scheduler may have issued a grant and the response was lost: return it.
		r.d.Schedulers.ReturnGrant(c.Scheduler, protocol.GrantRelease{ID: request.ID, Server: c.Server})
	}
	return g, refusal, err
}

// recordGrant records that the attempt uses the grant g.
func (r *run) recordGrant(c routing.Candidate, request protocol.GrantRequest, g *protocol.Grant) *activeGrant {
	grant := newActiveGrant(c.Server, request, g.Expiry)
	grant.scheduler = c.Scheduler
	grant.epoch = g.Epoch
	r.d.grants.add(grant)
	return grant
}

// recordUngranted records that the attempt runs without a grant, since no scheduler responds.
func (r *run) recordUngranted(c routing.Candidate) *activeGrant {
	r.d.Metrics.Counter("attempts_without_grant").Inc(1)
	grant := newActiveGrant(c.Server, r.grantRequest, min(ungrantedExpiry, time.Until(r.job.Deadline)))
	r.d.grants.add(grant)
	return grant
}

func newActiveGrant(server string, request protocol.GrantRequest, expiry time.Duration) *activeGrant {
	return &activeGrant{
		server: server,
		expiry: time.Now().Add(expiry),
		refreshEntry: protocol.HeldGrant{
			ID: request.ID, Workspace: request.Workspace, Model: request.Model,
			PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, Bytes: request.Bytes,
			Prefilling: true,
		},
	}
}

// returnGrant removes a grant from the table and returns it to the scheduler that issued it. For an attempt without a
// grant there is no scheduler to notify.
func (r *run) returnGrant(grant *activeGrant, fin protocol.GrantRelease) {
	r.d.grants.remove(grant)
	if grant.scheduler.Name == "" {
		return
	}
	fin.ID = grant.refreshEntry.ID
	fin.Server = grant.server
	r.d.Schedulers.ReturnGrant(grant.scheduler, fin)
}

// noGrantFailure returns the failure of an attempt that got no grant.
func noGrantFailure(kind protocol.RefusalKind, retryAfter time.Duration) *retry.Failure {
	return &retry.Failure{Kind: retry.KindNoGrant, GrantRefusal: kind, RetryAfter: retryAfter}
}

// fitsOneServer reports whether the prompt and its output fit on a single backend server, as far as the capacities are
// known. It returns true if no capacity is known.
func fitsOneServer(view *fleet.View, request protocol.GrantRequest) bool {
	known := false
	for i := range view.Entries {
		row := &view.Entries[i].Row
		if row.CapacityBytes > 0 && (request.PromptTokens+request.OutputTokens)*row.BytesPerToken <= row.CapacityBytes {
			return true
		}
		known = known || row.CapacityBytes > 0
	}
	return !known
}
