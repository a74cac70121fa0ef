package member

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// pendingProbe is an unanswered probe of a member of this failure domain.
type pendingProbe struct {
	host     protocol.Host
	deadline time.Time // when the direct probe or, if indirect is set, the indirect probes time out
	indirect bool      // whether other hosts have been asked to probe the host
	extended bool      // whether the deadline has been extended by ProbeTimeout
}

// probeLocalPeer starts a probe of a member of this failure domain. It returns nil if one is already pending.
func (l *List) probeLocalPeer(now time.Time, h protocol.Host) []Action {
	if l.pendingIndex(h.Name) >= 0 {
		return nil
	}
	l.pendingProbes = append(l.pendingProbes, pendingProbe{host: h, deadline: now.Add(l.ProbeTimeout)})
	return []Action{l.probeAction(h, l.ProbeTimeout+l.IndirectTimeout)}
}

func (l *List) probeAction(to protocol.Host, timeout time.Duration) Action {
	return Action{Kind: ActionProbe, To: to, Timeout: timeout, Probe: l.newProbe(to)}
}

func (l *List) pendingIndex(name string) int {
	return slices.IndexFunc(l.pendingProbes, func(p pendingProbe) bool { return p.host.Name == name })
}

func (l *List) removePendingProbe(name string) {
	if i := l.pendingIndex(name); i >= 0 {
		l.pendingProbes = slices.Delete(l.pendingProbes, i, i+1)
	}
}

// expireDeadlines handles expired deadlines: an unanswered direct probe is followed by indirect ones, a member whose
// indirect probes are also unanswered is suspected, and a member whose suspicion has timed out is declared dead.
func (l *List) expireDeadlines(now time.Time) []Action {
	var actions []Action
	for i := 0; i < len(l.pendingProbes); {
		p := &l.pendingProbes[i]
		switch {
		case now.Before(p.deadline):
			i++
		case !p.indirect && !l.disabled.indirectProbes:
			actions = append(actions, l.probeIndirectly(now, p)...)
			i++
		default:
			name := p.host.Name
			l.pendingProbes = slices.Delete(l.pendingProbes, i, i+1)
			l.suspect(now, name)
		}
	}
	for _, r := range l.members {
		if r.State == protocol.StateSuspect && !now.Before(r.suspicionEndsAt) {
			l.markDead(now, r)
		}
	}
	return actions
}

// probeIndirectly probes a host once more and asks other members of this failure domain to probe it too.
func (l *List) probeIndirectly(now time.Time, p *pendingProbe) []Action {
	p.indirect = true
	p.deadline = now.Add(l.IndirectTimeout)
	actions := []Action{l.probeAction(p.host, l.IndirectTimeout)}
	for _, h := range l.randomLocalPeers(indirectProbes, p.host.Name) {
		a := l.probeAction(h, l.IndirectTimeout)
		a.Probe.Target = p.host.Name
		actions = append(actions, a)
	}
	return actions
}

// HandleProbe handles a probe from another host and returns the Ack to answer it with. If the actions contain an
// ActionRelay, the caller sends the Ack only after that action's result is known.
func (l *List) HandleProbe(now time.Time, p *protocol.Probe) (protocol.Ack, []Action) {
	l.beginUpdate(now)
	l.mergeSender(now, p.From)
	l.mergeRows(now, p.From, p.Members)
	ack := protocol.Ack{From: l.Self, TargetAnswered: p.Target == "", Digest: l.sharedDigest(p.From.FailureDomain)}
	if p.AllMembers {
		ack.Members = l.allRowsFor(p.From.FailureDomain)
	} else {
		ack.Members = l.nextRowsFor(p.From, maxRowsPerMessage)
	}
	var actions []Action
	if p.Target != "" {
		if r := l.find(p.Target); r != nil && r.State != protocol.StateDead {
			a := l.probeAction(r.Host, l.IndirectTimeout-l.IndirectTimeout/relayReturnFraction)
			a.Kind = ActionRelay
			actions = append(actions, a)
		}
	}
	actions = append(actions, l.compareDigest(now, p.From, p.Digest)...)
	return ack, l.finishUpdate(actions)
}

// HandleAck handles the answer to the probe of action a.
func (l *List) HandleAck(now time.Time, ack *protocol.Ack, a Action) []Action {
	l.beginUpdate(now)
	l.mergeSender(now, ack.From)
	l.mergeRows(now, ack.From, ack.Members)
	if a.Probe.AllMembers {
		l.removeUnknownMembers(now, ack)
	}
	switch {
	case a.Probe.Target != "":
		if ack.TargetAnswered {
			l.removePendingProbe(a.Probe.Target)
		}
	case a.To.Name != "" && a.To.Name != ack.From.Name:
		// Another host answers at the address, so the host that used it no longer runs.
		l.removePendingProbe(a.To.Name)
		if r := l.find(a.To.Name); r != nil && r.State != protocol.StateDead && l.isLocalPeer(r.Host) {
			l.markDead(now, r)
		}
	default:
		l.removePendingProbe(a.To.Name)
	}
	if c := l.domainLinks[ack.From.FailureDomain]; c != nil {
		c.failures = 0
	}
	return l.finishUpdate(l.compareDigest(now, ack.From, ack.Digest))
}

// HandleFailure handles that the probe of action a was not answered in time.
func (l *List) HandleFailure(now time.Time, a Action) []Action {
	l.beginUpdate(now)
	if a.To.FailureDomain != l.Self.FailureDomain {
		if c := l.domainLinks[a.To.FailureDomain]; c != nil {
			c.failures++
		}
		return l.finishUpdate(nil)
	}
	if a.Probe.Target != "" || a.Kind == ActionRelay {
		return l.finishUpdate(nil)
	}
	var actions []Action
	if i := l.pendingIndex(a.To.Name); i >= 0 && !l.pendingProbes[i].indirect && !l.disabled.indirectProbes {
		actions = l.probeIndirectly(now, &l.pendingProbes[i])
	}
	return l.finishUpdate(actions)
}
