package drive

import (
	"errors"
	"sort"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/longprompt"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
)

// maxPartTokens is the maximum size of a prefill part, in prompt tokens, with the policies that use no schedulers.
const maxPartTokens = memoryTokens * 6 / 10

const (
	reserveRetryInterval = 100 * time.Millisecond // between attempts to reserve memory on an engine
	planRetryInterval    = 250 * time.Millisecond // between attempts to plan a split
)

// splitPrompt is a prompt that needs more memory than one engine has. Its members are the prefill parts, each on
// another engine. Their memory is reserved one after the other, in ascending order of the engines' names. They then
// prefill one after the other, each with the KV cache of those before it.
type splitPrompt struct {
	members       []*attempt
	reservedCount int // number of members whose memory is reserved
}

// startSplitPrompt plans the split of a prompt and starts to reserve the members' memory. While the plan fails for lack
// of free memory or because needed engines don't respond, it tries again every planRetryInterval until the deadline.
// After other failures it refuses the request.
func (r *run) startSplitPrompt(a *attempt) {
	if a.arrivedAt.Add(a.req.deadline).Before(r.now) {
		r.handleExpiry(a)
		return
	}
	parts, kind := r.planSplit(a)
	switch kind {
	case "":
		r.reserveNextMember(r.newSplitPrompt(a, parts))
	case longprompt.KindNoFreeMemory, longprompt.KindUnhealthy:
		r.after(planRetryInterval, func() { r.startSplitPrompt(a) })
	default:
		r.recordRefusal(a)
	}
}

// planSplit returns the members of the split, or the kind of the failure if the planner finds none.
func (r *run) planSplit(a *attempt) ([]longprompt.Member, longprompt.Kind) {
	if r.Policy != routing.PolicyLeastCost {
		return r.planWithoutScheduler(a), ""
	}
	parts, err := (&longprompt.Planner{}).Plan(r.now, a.host.view, r.grantRequest(a))
	var failure *longprompt.Error
	if errors.As(err, &failure) {
		return nil, failure.Kind
	}
	return parts, ""
}

// planWithoutScheduler splits a prompt evenly over backend servers that the router's policy chooses, sorted by name.
func (r *run) planWithoutScheduler(a *attempt) []longprompt.Member {
	n := (a.req.promptTokens + maxOutputTokens + maxPartTokens - 1) / maxPartTokens
	share := (a.req.promptTokens + n - 1) / n
	var parts []longprompt.Member
	for remaining := a.req.promptTokens; remaining > 0; remaining -= share {
		candidates := a.host.router.Candidates(r.now, a.host.view,
			r.grantRequest(&attempt{req: &request{promptTokens: share}, host: a.host}), a.excluded)
		if len(candidates) == 0 {
			break
		}
		a.excluded = append(a.excluded, candidates[0].Server)
		tokens := min(share, remaining)
		parts = append(parts, longprompt.Member{
			Server: candidates[0].Server, PromptTokens: tokens, Bytes: (tokens + maxOutputTokens) * kvBytesPerToken,
		})
	}
	sort.Slice(parts, func(i, j int) bool { return parts[i].Server < parts[j].Server })
	return parts
}

// newSplitPrompt returns a split of the request with one member for each of parts.
func (r *run) newSplitPrompt(a *attempt, parts []longprompt.Member) *splitPrompt {
	s := &splitPrompt{}
	var before int64
	for i, part := range parts {
		s.members = append(s.members, &attempt{
			req: a.req, host: a.host, arrivedAt: a.arrivedAt, split: s, partIndex: i, number: uint32(i + 1),
			engine: r.engineByName[part.Server], partTokens: part.PromptTokens, partBytes: part.Bytes, tokensBefore: before,
		})
		before += part.PromptTokens
	}
	return s
}

// reserveNextMember reserves the next member's memory: with PolicyScheduled by a queued grant request to its scheduler,
// otherwise on the engine itself. If all members have theirs, it starts the first prefill part.
func (r *run) reserveNextMember(s *splitPrompt) {
	if s.reservedCount == len(s.members) {
		r.startPart(s.members[0])
		return
	}
	m := s.members[s.reservedCount]
	if m.arrivedAt.Add(m.req.deadline).Before(r.now) {
		r.handleExpiry(m)
		return
	}
	if r.Policy != routing.PolicyLeastCost {
		r.reserveWithoutScheduler(m)
		return
	}
	grantRequest := r.grantRequest(m)
	grantRequest.MayQueue, grantRequest.Server = true, m.engine.name
	grantRequest.PromptTokens, grantRequest.Bytes = m.partTokens, m.partBytes
	if s.reservedCount < len(s.members)-1 {
		grantRequest.OutputTokens = 0
	}
	m.id = grantRequest.ID
	r.attemptByID[grantRequest.ID] = m
	r.after(r.networkDelay(m.host, m.engine),
		func() { r.deliverDecisions(m.engine, m.engine.scheduler.Request(r.now, grantRequest)) })
}

// reserveWithoutScheduler reserves a member's memory on the engine itself. If the engine has too little free memory, it
// tries again every reserveRetryInterval until the deadline.
func (r *run) reserveWithoutScheduler(m *attempt) {
	s := m.split
	err := m.engine.simulator.Reserve(r.now, r.reservationID(m), m.partBytes, m.arrivedAt.Add(m.req.deadline))
	r.advanceEngine(m.engine)
	if err != nil {
		r.after(reserveRetryInterval, func() { r.reserveNextMember(s) })
		return
	}
	s.reservedCount++
	r.reserveNextMember(s)
}

// reservationID returns the ID of a member's reservation on its engine.
func (r *run) reservationID(m *attempt) string {
	return "r" + strconv.Itoa(m.req.id) + "." + strconv.Itoa(m.partIndex)
}

// handleMemberDecision handles a scheduler's decision on a member. After a grant it reserves the next member; a refusal
// ends the request and releases all members.
func (r *run) handleMemberDecision(m *attempt, _ *engine, d grant.Decision) {
	if d.Grant == nil {
		if r.isMeasured(m) {
			r.result.Class[m.req.length].Refused++
		}
		r.releaseMembers(m)
		return
	}
	m.number = uint32(d.Grant.Priority) + 1 // startPart derives the job's priority from it
	m.split.reservedCount++
	r.reserveNextMember(m.split)
}

// startPart submits the job of one member to its engine. The job of the last member also decodes the output.
func (r *run) startPart(m *attempt) {
	last := m.partIndex == len(m.split.members)-1
	job := batch.Job{
		ID: strconv.Itoa(m.req.id) + "." + strconv.Itoa(m.partIndex), Priority: int(m.number) - 1,
		PromptTokens: m.tokensBefore + m.partTokens, ImportedTokens: m.tokensBefore,
		PrefillOnly: !last, Expiry: m.arrivedAt.Add(m.req.deadline),
	}
	if last {
		job.OutputTokens = m.req.outputTokens
	}
	if r.Policy != routing.PolicyLeastCost {
		job.Reservation = r.reservationID(m)
		job.Priority = 0
	}
	r.after(r.networkDelay(m.host, m.engine), func() {
		if m.engine.failed || m.engine.simulator.Submit(r.now, job) != nil {
			r.retryAfterLoss(m)
			return
		}
		r.attemptByJob[job.ID] = m
		r.advanceEngine(m.engine)
	})
}

// startNextPart notifies the scheduler that a member's prefill has ended and starts the next member's.
func (r *run) startNextPart(m *attempt) {
	r.notifyScheduler(m, func(s *grant.Scheduler) []grant.Decision { return s.PrefillDone(r.now, m.id) })
	r.startPart(m.split.members[m.partIndex+1])
}

// releaseMembers releases the memory and the grants of all members of a split prompt.
func (r *run) releaseMembers(a *attempt) {
	for _, m := range a.split.members {
		if !m.engine.failed {
			m.engine.simulator.Release(r.now, strconv.Itoa(m.req.id)+"."+strconv.Itoa(m.partIndex))
			m.engine.simulator.Release(r.now, r.reservationID(m))
			r.advanceEngine(m.engine)
		}
		if m.id.Request != "" {
			id := m.id
			r.notifyScheduler(m, func(s *grant.Scheduler) []grant.Decision {
				return s.Finish(r.now, protocol.GrantRelease{ID: id})
			})
		}
	}
}
