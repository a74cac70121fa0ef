package planner

import (
	"slices"
	"time"
)

// changePlanner makes another host that is in touch the planner of all hosts that were planned for by the present one.
func (w *crashWorld) changePlanner() {
	var others []*crashHost
	for _, h := range w.hosts {
		if h != w.planner && h.group == 0 && !h.frozen && !h.down {
			others = append(others, h)
		}
	}
	if len(others) == 0 {
		return
	}
	w.planner = others[w.random.IntN(len(others))]
	for _, h := range w.hosts {
		if h.group == 0 {
			w.atHost(h, func() { w.choosePlanner(h, w.planner) })
		}
	}
}

// freeze stops a host for d. Its connections stay.
func (w *crashWorld) freeze(h *crashHost, d time.Duration) {
	if h.down || h.frozen {
		return
	}
	h.frozen = true
	w.After(d, func() {
		h.frozen = false
		h.calmSince = w.Now
		for len(h.inbox) > 0 {
			f := h.inbox[0]
			h.inbox = h.inbox[1:]
			f()
		}
	})
}

// restart ends a host's process and starts it again, with an empty planner.
func (w *crashWorld) restart(h *crashHost) {
	if h.down || h.frozen {
		return
	}
	h.down = true
	for _, a := range slices.Concat(h.pending, h.placed) {
		a.over = true
		a.call.broken = a.call.broken || a.call.first
		w.leaveReplica(a)
		w.failCall(a.call, 0)
	}
	h.pending, h.placed = nil, nil
	if h.plannedBy != h {
		w.removeHost(h.plannedBy, h)
	}
	if h == w.planner {
		w.changePlanner()
	}
	w.After(crashRestartDuration, func() {
		h.down = false
		h.calmSince = w.Now
		h.polling = false
		h.planner = newCrashPlanner(h.index)
		h.plannedBy = h
		w.listReplicas()
		if h.group == 0 {
			w.choosePlanner(h, w.planner)
		}
	})
}

// cut separates hosts from all other hosts and the store for d, and together with them the replicas of a failure
// domain, if domain is not negative. When the hosts notice that, each side chooses a planner if it has none.
func (w *crashWorld) cut(hosts []*crashHost, domain int, d time.Duration) {
	w.groups++
	for _, h := range hosts {
		h.group = w.groups
	}
	w.setSide(hosts, domain, w.groups)
	w.After(crashLostAfter, func() {
		planner := hosts[0]
		if slices.Contains(hosts, w.planner) {
			planner = w.planner
			w.changePlanner()
		}
		for _, h := range hosts {
			w.atHost(h, func() { w.choosePlanner(h, planner) })
		}
	})
	w.After(d, func() {
		for _, h := range hosts {
			h.group = 0
			h.calmSince = w.Now
		}
		w.setSide(hosts, domain, 0)
		w.listReplicas()
		for _, h := range hosts {
			w.atHost(h, func() { w.choosePlanner(h, w.planner) })
		}
	})
}

// setSide moves hosts, and the replicas of a failure domain, to another side of a cut.
func (w *crashWorld) setSide(hosts []*crashHost, domain, side int) {
	if domain < 0 {
		return
	}
	w.sides[domain] = side
	for _, h := range hosts {
		h.side = side
	}
	for _, r := range w.replicas {
		if r.domain == domain {
			r.side = side
			w.After(crashUnlistAfter, func() {
				r.listed = r.side == 0 && !r.dead
				w.listReplicas()
			})
		}
		for _, a := range r.attempts {
			if a.host.side != r.side {
				w.After(crashLostAfter, func() { w.endAttempt(a, OutcomeSilent) })
			}
		}
	}
}
