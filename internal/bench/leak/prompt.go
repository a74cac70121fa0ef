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
	arriveEvery  = 400 * time.Millisecond
	heartbeat    = 500 * time.Millisecond
	longTokens   = 450_000
	shortTokens  = 10_000
	outputTokens = 100
)

// prompt is one request of a host.
type prompt struct {
	w      *world
	h      *host
	epoch  uint64 // the host's incarnation
	owner  engineapi.Owner
	expiry time.Time
	chain  *longprompt.Chain
}

// arrive sends a prompt to a host and sets the next one; one in ten is long.
func (w *world) arrive() {
	if w.Now.Sub(w.start) > faultsEnd {
		return
	}
	w.After(w.upTo(2*arriveEvery), w.arrive)
	h := w.hosts[w.rand.IntN(hostCount)]
	if h.dead || w.Now.Before(h.thaw) {
		return
	}
	w.result.Requests++
	tokens := int64(shortTokens)
	if w.rand.IntN(10) == 0 {
		tokens = longTokens
	}
	p := &prompt{w: w, h: h, epoch: h.incarnation, expiry: w.Now.Add(expiryTime)}
	p.owner = engineapi.Owner{
		Host: h.name, Incarnation: h.incarnation, Attempt: 1, Request: fmt.Sprintf("%s-%d", h.name, w.result.Requests),
	}
	p.begin(tokens)
}

// begin plans and starts the prompt; a short one is a chain of one member.
func (p *prompt) begin(tokens int64) {
	w := p.w
	planner := &longprompt.Planner{}
	ask := protocol.Ask{Model: model, PromptTokens: tokens, OutputTokens: outputTokens, TimeLeft: longDeadline}
	members, err := planner.Plan(w.Now, w.view(), ask)
	if err != nil {
		return
	}
	p.chain = &longprompt.Chain{Reservation: longprompt.Reservation{
		ID: protocol.AttemptID{
			Host: p.h.name, Incarnation: p.epoch, Request: p.owner.Request, Attempt: p.owner.Attempt,
		},
		Members: members, Deadline: w.Now.Add(longDeadline), Expiry: expiryTime,
	}}
	w.configure(Machines{Tracker: p.h.machines.Tracker, Comparison: p.h.machines.Comparison, Chain: p.chain})
	p.h.chains = append(p.h.chains, p)
	p.perform(p.chain.Start(w.Now))
	w.After(heartbeat, p.beat)
}

// beat delivers the working engine's heartbeats.
func (p *prompt) beat() {
	if p.chain.Next().IsZero() {
		return
	}
	p.w.After(heartbeat, p.beat)
	for _, e := range p.w.engines {
		if _, ok := e.batch.Bytes(p.id(engineapi.KindSequence)); ok && !p.h.cut[e.index()] {
			p.w.on(p.h, p.epoch, func() { p.chain.Heard(p.w.Now, e.name) })
		}
	}
}

func (p *prompt) id(kind string) string { return longprompt.AllocationID(p.chain.ID, kind) }

// perform carries out what the chain decides.
func (p *prompt) perform(actions []longprompt.Action) {
	for i := range actions {
		a := &actions[i]
		e := p.w.engine(a.Member.Server)
		switch a.Kind {
		case longprompt.ActionReserve:
			p.reserve(e, a.Member.Bytes)
		case longprompt.ActionRelease:
			p.w.release(p.h, p.h.machines.Tracker.Free(p.w.Now, a.Member.Server, a.Allocation))
		case longprompt.ActionPrefill:
			p.submit(e, a, true)
		case longprompt.ActionDecode:
			p.submit(e, a, false)
		case longprompt.ActionExport:
			p.export(e)
		}
	}
}

// own notes whose an allocation is; an engine without expiries of its own only lists them.
func (p *prompt) own(e *engine, id string) time.Time {
	e.owners[id] = ownership{owner: p.owner, expiry: p.expiry}
	if e.expires {
		return p.expiry
	}
	return time.Time{}
}

func (p *prompt) reserve(e *engine, bytes int64) {
	w, id := p.w, p.id(engineapi.KindReservation)
	w.call(p.h, e, func() error { return e.batch.Reserve(w.Now, id, bytes, p.own(e, id)) }, func(err error, ok bool) {
		var refusal *batch.Error
		switch {
		case !ok:
			p.perform(p.chain.Failed(w.Now, e.name))
		case errors.As(err, &refusal):
			p.perform(p.chain.Refused(w.Now, e.name, refusal.Kind))
		default:
			p.perform(p.chain.Reserved(w.Now, e.name))
		}
	})
}

// submit runs a part on an engine, whose end comes as an event.
func (p *prompt) submit(e *engine, a *longprompt.Action, prefillOnly bool) {
	w, id := p.w, p.id(engineapi.KindSequence)
	job := batch.Job{ID: id, Reservation: p.id(engineapi.KindReservation), PrefillOnly: prefillOnly}
	for _, i := range a.Imports {
		job.Imported += i.Tokens
	}
	job.PromptTokens = job.Imported + a.Member.Tokens
	if !prefillOnly {
		job.OutputTokens = outputTokens
	}
	run := func() error {
		job.Expiry = p.own(e, id)
		e.done[id] = func() { p.ended(e, prefillOnly) }
		return e.batch.Submit(w.Now, job)
	}
	w.call(p.h, e, run, func(err error, ok bool) {
		if !ok || err != nil {
			p.perform(p.chain.StepFailed(w.Now, e.name))
		}
	})
}

// ended tells the host of a part's end unless it is cut off.
func (p *prompt) ended(e *engine, prefillOnly bool) {
	if p.h.cut[e.index()] {
		return
	}
	p.w.on(p.h, p.epoch, func() {
		if prefillOnly {
			p.perform(p.chain.Prefilled(p.w.Now, e.name))
			return
		}
		if actions := p.chain.Done(p.w.Now); actions != nil {
			p.w.result.Answered++
			p.perform(actions)
		}
	})
}

func (p *prompt) export(e *engine) {
	w, id := p.w, p.id(engineapi.KindExport)
	run := func() error { return e.batch.Export(w.Now, p.id(engineapi.KindSequence), id, p.own(e, id)) }
	w.call(p.h, e, run, func(err error, ok bool) {
		if !ok || err != nil {
			p.perform(p.chain.StepFailed(w.Now, e.name))
			return
		}
		p.perform(p.chain.Exported(w.Now, e.name, id))
	})
}

// advance collects an engine's events.
func (w *world) advance(e *engine) {
	w.After(tickEvery, func() { w.advance(e) })
	for _, ev := range e.batch.Advance(w.Now) {
		if done := e.done[ev.ID]; ev.Kind == batch.EventEnd && done != nil {
			delete(e.done, ev.ID)
			w.After(w.upTo(5*time.Millisecond), done)
		}
	}
}
