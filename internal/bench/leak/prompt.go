package leak

import (
	"errors"
	"fmt"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/longprompt"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	arrivalInterval   = 400 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	longTokens        = 450_000
	shortTokens       = 10_000
	outputTokens      = 100
)

// prompt is one request that a host has accepted.
type prompt struct {
	sim         *sim
	h           *host
	incarnation uint64 // of the host when the prompt arrived
	owner       engineapi.Owner
	expiry      time.Time
	chain       *longprompt.Chain
}

// sendPrompt sends a prompt, of which one in ten is long, to a random host and schedules the next arrival. A host that
// is dead or frozen gets none.
func (s *sim) sendPrompt() {
	if s.Now.Sub(s.start) > faultPeriod {
		return
	}
	s.After(s.randUpTo(2*arrivalInterval), s.sendPrompt)
	h := s.hosts[s.rand.IntN(hostCount)]
	if h.dead || s.Now.Before(h.frozenUntil) {
		return
	}
	s.result.Requests++
	tokens := int64(shortTokens)
	if s.rand.IntN(10) == 0 {
		tokens = longTokens
	}
	p := &prompt{sim: s, h: h, incarnation: h.incarnation, expiry: s.Now.Add(allocationTTL)}
	p.owner = engineapi.Owner{
		Host: h.name, Incarnation: h.incarnation, Attempt: 1, Request: fmt.Sprintf("%s-%d", h.name, s.result.Requests),
	}
	p.start(tokens)
}

// start plans the prompt and starts its chain, which has a single member for a short prompt. It does nothing if the
// planner refuses the prompt.
func (p *prompt) start(tokens int64) {
	s := p.sim
	planner := &longprompt.Planner{}
	request := protocol.GrantRequest{
		Model: model, PromptTokens: tokens, OutputTokens: outputTokens,
		TimeLeft: longDeadline,
	}
	members, err := planner.Plan(s.Now, s.view(), request)
	if err != nil {
		return
	}
	p.chain = &longprompt.Chain{Reservation: longprompt.Reservation{
		ID: protocol.AttemptID{
			Host: p.h.name, Incarnation: p.incarnation, Request: p.owner.Request, Attempt: p.owner.Attempt,
		},
		Members: members, Deadline: s.Now.Add(longDeadline), Expiry: allocationTTL,
	}}
	s.configure(Machines{Tracker: p.h.machines.Tracker, Comparison: p.h.machines.Comparison, Chain: p.chain})
	p.h.prompts = append(p.h.prompts, p)
	p.perform(p.chain.Start(s.Now))
	s.After(heartbeatInterval, p.deliverHeartbeats)
}

// deliverHeartbeats reports to the chain which engines hold the prompt's sequence and can reach the host. It repeats at
// each heartbeat interval until the chain has ended.
func (p *prompt) deliverHeartbeats() {
	if p.chain.Next().IsZero() {
		return
	}
	p.sim.After(heartbeatInterval, p.deliverHeartbeats)
	for _, e := range p.sim.engines {
		if _, ok := e.batch.AllocationBytes(p.id(engineapi.KindSequence)); ok && !p.h.unreachable[e.index()] {
			p.sim.runOn(p.h, p.incarnation, func() { p.chain.RecordActivity(p.sim.Now, e.name) })
		}
	}
}

func (p *prompt) id(kind string) string { return longprompt.AllocationID(p.chain.ID, kind) }

// perform carries out the chain's actions.
func (p *prompt) perform(actions []longprompt.Action) {
	for i := range actions {
		a := &actions[i]
		e := p.sim.engine(a.Member.Server)
		switch a.Kind {
		case longprompt.ActionReserve:
			p.reserve(e, a.Member.Bytes)
		case longprompt.ActionRelease:
			p.sim.release(p.h, p.h.machines.Tracker.Release(p.sim.Now, a.Member.Server, a.Allocation))
		case longprompt.ActionPrefill:
			p.submit(e, a, true)
		case longprompt.ActionDecode:
			p.submit(e, a, false)
		case longprompt.ActionExport:
			p.export(e)
		}
	}
}

// setOwner records the owner of an allocation and returns the expiry to give to the engine. It returns the zero
// time for an engine that doesn't free expired allocations itself; such an engine only lists owners and expiries.
func (p *prompt) setOwner(e *engine, id string) time.Time {
	e.owners[id] = ownership{owner: p.owner, expiry: p.expiry}
	if e.expires {
		return p.expiry
	}
	return time.Time{}
}

func (p *prompt) reserve(e *engine, bytes int64) {
	s, id := p.sim, p.id(engineapi.KindReservation)
	s.call(p.h, e, func() error { return e.batch.Reserve(s.Now, id, bytes, p.setOwner(e, id)) }, func(err error, ok bool) {
		var refusal *batch.Error
		switch {
		case !ok:
			p.perform(p.chain.Failed(s.Now, e.name))
		case errors.As(err, &refusal):
			p.perform(p.chain.Refused(s.Now, e.name, refusal.Kind))
		default:
			p.perform(p.chain.Reserved(s.Now, e.name))
		}
	})
}

// submit runs one member's step of the prompt on an engine: only the prefill, or the prefill and the decoding. An event
// of the engine reports its end.
func (p *prompt) submit(e *engine, a *longprompt.Action, prefillOnly bool) {
	s, id := p.sim, p.id(engineapi.KindSequence)
	job := batch.Job{ID: id, Reservation: p.id(engineapi.KindReservation), PrefillOnly: prefillOnly}
	for _, i := range a.Imports {
		job.ImportedTokens += i.Tokens
	}
	job.PromptTokens = job.ImportedTokens + a.Member.PromptTokens
	if !prefillOnly {
		job.OutputTokens = outputTokens
	}
	run := func() error {
		job.Expiry = p.setOwner(e, id)
		e.onEnd[id] = func() { p.notifyEnded(e, prefillOnly) }
		return e.batch.Submit(s.Now, job)
	}
	s.call(p.h, e, run, func(err error, ok bool) {
		if !ok || err != nil {
			p.perform(p.chain.PartFailed(s.Now, e.name))
		}
	})
}

// notifyEnded reports the end of a submitted step to the host, unless the engine can't reach the host.
func (p *prompt) notifyEnded(e *engine, prefillOnly bool) {
	if p.h.unreachable[e.index()] {
		return
	}
	p.sim.runOn(p.h, p.incarnation, func() {
		if prefillOnly {
			p.perform(p.chain.Prefilled(p.sim.Now, e.name))
			return
		}
		if actions := p.chain.Completed(p.sim.Now); actions != nil {
			p.sim.result.Answered++
			p.perform(actions)
		}
	})
}

func (p *prompt) export(e *engine) {
	s, id := p.sim, p.id(engineapi.KindExport)
	run := func() error { return e.batch.Export(s.Now, p.id(engineapi.KindSequence), id, p.setOwner(e, id)) }
	s.call(p.h, e, run, func(err error, ok bool) {
		if !ok || err != nil {
			p.perform(p.chain.PartFailed(s.Now, e.name))
			return
		}
		p.perform(p.chain.Exported(s.Now, e.name, id))
	})
}

// advance advances an engine to the current time at each tick, and delivers the ends of sequences after a random delay.
func (s *sim) advance(e *engine) {
	s.After(tickInterval, func() { s.advance(e) })
	for _, ev := range e.batch.Advance(s.Now) {
		if onEnd := e.onEnd[ev.ID]; ev.Kind == batch.EventEnd && onEnd != nil {
			delete(e.onEnd, ev.ID)
			s.After(s.randUpTo(5*time.Millisecond), onEnd)
		}
	}
}
