package member

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// pending is a probe of a member of this failure domain that has not been answered yet.
type pending struct {
	host      protocol.Host
	deadline  time.Time
	indirect  bool // others have been asked
	postponed bool
}

// direct probes a member of this failure domain.
func (l *List) direct(now time.Time, h protocol.Host) []Action {
	if l.pendingIndex(h.Name) >= 0 {
		return nil
	}
	l.pending = append(l.pending, pending{host: h, deadline: now.Add(l.ProbeTimeout)})
	return []Action{l.action(h, l.ProbeTimeout+l.IndirectTimeout)}
}

func (l *List) action(to protocol.Host, timeout time.Duration) Action {
	return Action{Kind: ActionProbe, To: to, Timeout: timeout, Probe: l.message(to)}
}

func (l *List) pendingIndex(name string) int {
	return slices.IndexFunc(l.pending, func(p pending) bool { return p.host.Name == name })
}

func (l *List) answered(name string) {
	if i := l.pendingIndex(name); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

// expire moves probes without an answer on, and ends suspicions.
func (l *List) expire(now time.Time) []Action {
	var actions []Action
	for i := 0; i < len(l.pending); {
		p := &l.pending[i]
		switch {
		case now.Before(p.deadline):
			i++
		case !p.indirect && !l.off.indirect:
			actions = append(actions, l.askOthers(now, p)...)
			i++
		default:
			name := p.host.Name
			l.pending = slices.Delete(l.pending, i, i+1)
			l.suspect(now, name)
		}
	}
	for _, e := range l.members {
		if e.State == protocol.StateSuspect && !now.Before(e.suspectAt) {
			l.kill(now, e)
		}
	}
	return actions
}

// askOthers probes a host once more, and through others.
func (l *List) askOthers(now time.Time, p *pending) []Action {
	p.indirect = true
	p.deadline = now.Add(l.IndirectTimeout)
	actions := []Action{l.action(p.host, l.IndirectTimeout)}
	for _, h := range l.pick(helpers, p.host.Name) {
		a := l.action(h, l.IndirectTimeout)
		a.Probe.Target = p.host.Name
		actions = append(actions, a)
	}
	return actions
}

// Probed takes in a probe; when an ActionRelay comes with the answer, the answer waits for its result.
func (l *List) Probed(now time.Time, p *protocol.Probe) (protocol.Ack, []Action) {
	l.begin(now)
	l.heard(now, p.From)
	l.mergeAll(now, p.From, p.Members)
	ack := protocol.Ack{From: l.Self, OK: p.Target == "", Digest: l.digestFor(p.From.FailureDomain)}
	if p.Join {
		ack.Members = l.all(p.From.FailureDomain)
	} else {
		ack.Members = l.rowsFor(p.From, maxMembers)
	}
	var actions []Action
	if p.Target != "" {
		if e := l.find(p.Target); e != nil && e.State != protocol.StateDead {
			a := l.action(e.Host, l.IndirectTimeout-l.IndirectTimeout/relayFraction)
			a.Kind = ActionRelay
			actions = append(actions, a)
		}
	}
	actions = append(actions, l.compare(now, p.From, p.Digest)...)
	return ack, l.finish(actions)
}

// Acked takes in the answer to an action's probe.
func (l *List) Acked(now time.Time, ack *protocol.Ack, a Action) []Action {
	l.begin(now)
	l.heard(now, ack.From)
	l.mergeAll(now, ack.From, ack.Members)
	if a.Probe.Join {
		l.reconcile(now, ack)
	}
	switch {
	case a.Probe.Target != "":
		if ack.OK {
			l.answered(a.Probe.Target)
		}
	case a.To.Name != "" && a.To.Name != ack.From.Name:
		// Another host answers at the address, so the one that was there has gone.
		l.answered(a.To.Name)
		if e := l.find(a.To.Name); e != nil && e.State != protocol.StateDead && l.isOwn(e.Host) {
			l.kill(now, e)
		}
	default:
		l.answered(a.To.Name)
	}
	if c := l.crossing[ack.From.FailureDomain]; c != nil {
		c.failures = 0
	}
	return l.finish(l.compare(now, ack.From, ack.Digest))
}

// Failed takes in that an action's probe was not answered in time.
func (l *List) Failed(now time.Time, a Action) []Action {
	l.begin(now)
	if a.To.FailureDomain != l.Self.FailureDomain {
		if c := l.crossing[a.To.FailureDomain]; c != nil {
			c.failures++
		}
		return l.finish(nil)
	}
	if a.Probe.Target != "" || a.Kind == ActionRelay {
		return l.finish(nil)
	}
	var actions []Action
	if i := l.pendingIndex(a.To.Name); i >= 0 && !l.pending[i].indirect && !l.off.indirect {
		actions = l.askOthers(now, &l.pending[i])
	}
	return l.finish(actions)
}
