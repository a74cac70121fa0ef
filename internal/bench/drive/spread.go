package drive

import (
	"sort"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
)

// partTokens bounds what one member of a spread prompt takes.
const partTokens = memoryTokens * 6 / 10

const reserveRetry = 100 * time.Millisecond

// spread is a prompt that is larger than one engine's memory. Its members are asked for in ascending order
// and prefill one after the other, each with the memory of those before it.
type spread struct {
	members []*attempt
	engines []*engine
	share   int64
	held    int
}

func (r *run) beginSpread(a *attempt) {
	n := int((a.req.prompt + maxOutputTokens + partTokens - 1) / partTokens)
	s := &spread{share: (a.req.prompt + int64(n) - 1) / int64(n)}
	for range n {
		ask := r.ask(a)
		ask.PromptTokens, ask.Bytes = s.share, (s.share+maxOutputTokens)*kvBytesPerToken
		candidates := a.host.router.Candidates(r.now, a.host.view, ask, a.excluded)
		if len(candidates) == 0 {
			r.refused(a)
			return
		}
		a.excluded = append(a.excluded, candidates[0].Server)
		s.engines = append(s.engines, r.byName[candidates[0].Server])
	}
	sort.Slice(s.engines, func(i, j int) bool { return s.engines[i].name < s.engines[j].name })
	for i := range s.engines {
		s.members = append(s.members, &attempt{
			req: a.req, host: a.host, arrived: a.arrived, spread: s, part: i, number: uint32(i + 1), engine: s.engines[i],
		})
	}
	r.reserve(s)
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
	ask.PromptTokens, ask.Bytes = s.share, (s.share+maxOutputTokens)*kvBytesPerToken
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
	err := m.engine.batch.Reserve(r.now, r.reservation(m), (s.share+maxOutputTokens)*kvBytesPerToken, m.arrived.Add(m.req.deadline))
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
	s, last := m.spread, m.part == len(m.spread.members)-1
	job := batch.Job{
		ID: strconv.Itoa(m.req.id) + "." + strconv.Itoa(m.part), Priority: int(m.number) - 1,
		PromptTokens: min(s.share*int64(m.part+1), m.req.prompt), Imported: s.share * int64(m.part),
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
