package planner

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/share"
)

// recordUse records the prefill time that a placed request uses for its workspace.
func (p *Planner) recordUse(now time.Time, req *Request) {
	if p.engines[req.Service] == nil || p.asBefore {
		return
	}
	t := p.shares[req.Service]
	if t == nil {
		t = &share.Table{}
		p.shares[req.Service] = t
	}
	t.Use(now, req.Workspace, p.prefillWork(req))
}

// setExcess sets which of the waiting requests are of a workspace that has used more than all others together.
func (p *Planner) setExcess(now time.Time) {
	for i := range p.waiting {
		p.waiting[i].excess = false
	}
	if len(p.waiting) < 2 {
		return // nobody competes
	}
	for service, t := range p.shares {
		workspace, found := t.Excess(now)
		for i := range p.waiting {
			w := &p.waiting[i]
			w.excess = w.excess || found && w.request.Service == service && w.request.Workspace == workspace
		}
	}
}
