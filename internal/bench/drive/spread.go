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

// partTokens bounds what one member of a spread prompt takes with the baselines.
const partTokens = memoryTokens * 6 / 10

const (
	reserveRetry = 100 * time.Millisecond
	planRetry    = 250 * time.Millisecond
)

// spread is a prompt that is larger than one engine's memory. Its members are asked for in ascending order
// and prefill one after the other, each with the memory of those before it.
type spread struct {
	members []*attempt
	held    int
}

func (r *run) beginSpread(a *attempt) {
	if a.arrived.Add(a.req.deadline).Before(r.now) {
		r.expire(a)
		return
	}
	parts, kind := r.plan(a)
	switch kind {
	case "":
		r.reserve(r.newSpread(a, parts))
	case longprompt.KindNow, longprompt.KindDown:
		r.after(planRetry, func() { r.beginSpread(a) })
	default:
		r.refused(a)
	}
}

// plan chooses the members, or says why there are none.
func (r *run) plan(a *attempt) ([]longprompt.Member, longprompt.Kind) {
	if r.Policy != routing.PolicyScheduled {
		return r.planDirect(a), ""
	}
	parts, err := (&longprompt.Planner{}).Plan(r.now, a.host.view, r.ask(a))
	var failure *longprompt.Error
	if errors.As(err, &failure) {
		return nil, failure.Kind
	}
	return parts, ""
}

// planDirect shares a prompt out evenly over backend servers that the baseline chooses.
func (r *run) planDirect(a *attempt) []longprompt.Member {
	n := (a.req.prompt + maxOutputTokens + partTokens - 1) / partTokens
	share := (a.req.prompt + n - 1) / n
	var parts []longprompt.Member
	for left := a.req.prompt; left > 0; left -= share {
		candidates := a.host.router.Candidates(r.now, a.host.view, r.ask(&attempt{req: &request{prompt: share}, host: a.host}), a.excluded)
		if len(candidates) == 0 {
			break
		}
		a.excluded = append(a.excluded, candidates[0].Server)
		tokens := min(share, left)
		parts = append(parts, longprompt.Member{
			Server: candidates[0].Server, Tokens: tokens, Bytes: (tokens + maxOutputTokens) * kvBytesPerToken,
		})
	}
	sort.Slice(parts, func(i, j int) bool { return parts[i].Server < parts[j].Server })
	return parts
}

func (r *run) newSpread(a *attempt, parts []longprompt.Member) *spread {
	s := &spread{}
	var before int64
	for i, part := range parts {
		s.members = append(s.members, &attempt{
			req: a.req, host: a.host, arrived: a.arrived, spread: s, part: i, number: uint32(i + 1),
			engine: r.byName[part.Server], tokens: part.Tokens, bytes: part.Bytes, before: before,
		})
		before += part.Tokens
	}
	return s
}

// reserve takes the next member's memory.
func (r *run) reserve(s *spread) {
	if s.held == len(s.members) {
		r.startPart(s.members[0])
		return
	}
	m := s.members[s.held]
	if m.arrived.Add(m.req.deadline).Before(r.now) {
		r.expire(m)
		return
	}
	if r.Policy != routing.PolicyScheduled {
		r.reserveDirect(m)
		return
	}
	ask := r.ask(m)
	ask.Queue, ask.Server = true, m.engine.name
	ask.PromptTokens, ask.Bytes = m.tokens, m.bytes
	if s.held < len(s.members)-1 {
		ask.OutputTokens = 0
	}
	m.id = ask.ID
	r.attempts[ask.ID] = m
	r.after(r.delay(m.host, m.engine), func() { r.decide(m.engine, m.engine.scheduler.Ask(r.now, ask)) })
}

// reserveDirect asks the engine itself, again and again until it has the memory.
func (r *run) reserveDirect(m *attempt) {
	s := m.spread
	err := m.engine.batch.Reserve(r.now, r.reservation(m), m.bytes, m.arrived.Add(m.req.deadline))
	r.touch(m.engine)
	if err != nil {
		r.after(reserveRetry, func() { r.reserve(s) })
		return
	}
	s.held++
	r.reserve(s)
}

func (r *run) reservation(m *attempt) string {
	return "r" + strconv.Itoa(m.req.id) + "." + strconv.Itoa(m.part)
}

func (r *run) memberDecided(m *attempt, _ *engine, d grant.Decision) {
	if d.Grant == nil {
		if r.measured(m) {
			r.result.Class[m.req.length].Refused++
		}
		r.finishSpread(m)
		return
	}
	m.number = uint32(d.Grant.Priority) + 1 // kept for the job's priority
	m.spread.held++
	r.reserve(m.spread)
}

// startPart prefills the tokens of one member.
func (r *run) startPart(m *attempt) {
	last := m.part == len(m.spread.members)-1
	job := batch.Job{
		ID: strconv.Itoa(m.req.id) + "." + strconv.Itoa(m.part), Priority: int(m.number) - 1,
		PromptTokens: m.before + m.tokens, Imported: m.before,
		PrefillOnly: !last, Expiry: m.arrived.Add(m.req.deadline),
	}
	if last {
		job.OutputTokens = m.req.output
	}
	if r.Policy != routing.PolicyScheduled {
		job.Reservation = r.reservation(m)
		job.Priority = 0
	}
	r.after(r.delay(m.host, m.engine), func() {
		if m.engine.dead || m.engine.batch.Submit(r.now, job) != nil {
			r.lost(m)
			return
		}
		r.jobs[job.ID] = m
		r.touch(m.engine)
	})
}

func (r *run) nextPart(m *attempt) {
	r.toScheduler(m, func(s *grant.Scheduler) []grant.Decision { return s.Prefilled(r.now, m.id) })
	r.startPart(m.spread.members[m.part+1])
}

// finishSpread frees what all members hold.
func (r *run) finishSpread(a *attempt) {
	for _, m := range a.spread.members {
		if !m.engine.dead {
			m.engine.batch.Release(r.now, strconv.Itoa(m.req.id)+"."+strconv.Itoa(m.part))
			m.engine.batch.Release(r.now, r.reservation(m))
			r.touch(m.engine)
		}
		if m.id.Request != "" {
			id := m.id
			r.toScheduler(m, func(s *grant.Scheduler) []grant.Decision {
				return s.Finish(r.now, protocol.Finish{ID: id})
			})
		}
	}
}
