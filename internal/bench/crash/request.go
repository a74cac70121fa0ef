package crash

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	workspace    = "w"
	maxResends   = 4
	recheck      = 100 * time.Millisecond
	avoidRefused = 5 * time.Second
)

type (
	request struct {
		w        *world
		entry    *host
		name     string
		content  uint64
		crashes  bool
		resends  int
		deadline time.Time
		attempt  uint32
		ran      bool
	}

	attempt struct {
		*request
		id     protocol.AttemptID
		server int
		apart  bool // suspected when it was granted
	}
)

// arrive sends a bystander's request and sets the next one.
func (w *world) arrive() {
	if w.Now.After(w.last) {
		return
	}
	w.After(time.Duration(w.rand.ExpFloat64()*float64(time.Second)/arrivalsPerSec), w.arrive)
	content := w.rand.Uint64()
	if w.rand.IntN(10) == 0 {
		content = uint64(w.rand.IntN(popular))
	}
	w.send(&request{content: content})
}

// sendCrasher sends a crashing content through a random host.
func (w *world) sendCrasher(content uint64, resends int) {
	w.send(&request{content: content, crashes: true, resends: resends})
	if w.Resend && resends < maxResends {
		w.After(time.Second+w.spread(3*time.Second), func() { w.sendCrasher(content, resends+1) })
	}
}

func (w *world) send(r *request) {
	r.entry = w.hosts[w.rand.IntN(hostCount)]
	if r.entry.dead {
		return
	}
	w.names++
	r.w, r.name, r.deadline = w, fmt.Sprint(w.names), w.Now.Add(requestTime)
	if !r.crashes {
		w.result.Bystanders++
	}
	r.entry.policy.Began(w.Now, workspace)
	r.attempt = 1
	r.try()
}

// try runs the next attempt on a backend server, as the request's verdict allows.
func (r *request) try() {
	w := r.w
	if r.entry.dead {
		r.orphaned()
		return
	}
	verdict := r.entry.ledger.Check(w.Now, workspace, r.content)
	switch {
	case verdict == suspect.Condemned || !w.Now.Before(r.deadline):
		r.decide(retry.Failure{Kind: retry.KindNoGrant, Verdict: verdict})
		return
	case verdict == suspect.Held:
		w.After(recheck, r.try)
		return
	}
	i, ok := r.choose(verdict)
	if !ok {
		w.After(recheck, r.try)
		return
	}
	s := w.servers[i]
	scheduler := w.hosts[s.scheduler]
	a := &attempt{
		request: r, server: i,
		id: protocol.AttemptID{Host: r.entry.name, Request: r.name, Attempt: r.attempt},
	}
	if !scheduler.dead {
		ask := &protocol.Ask{Workspace: workspace, Fingerprint: r.content, Suspect: verdict == suspect.Suspected}
		verdict = scheduler.ledger.CheckAsk(w.Now, ask)
		if verdict == suspect.Condemned {
			r.decide(retry.Failure{Kind: retry.KindNoGrant, Grant: protocol.RefusalCrashing, Verdict: verdict})
			return
		}
		if verdict == suspect.Held || verdict == suspect.Suspected && s.suspects > 0 {
			w.After(recheck, r.try)
			return
		}
		scheduler.ledger.Started(w.Now, s.name, a.id, workspace, r.content, verdict == suspect.Suspected)
	}
	a.apart = verdict == suspect.Suspected
	if a.apart {
		s.suspects++
	}
	w.After(time.Millisecond, a.run)
}

// choose picks a backend server that is not known to be dead and, for a suspect, runs no other one.
func (r *request) choose(verdict suspect.Verdict) (int, bool) {
	w := r.w
	var free []int
	for i, s := range w.servers {
		at, refused := r.entry.refused[i]
		if refused && w.Now.Sub(at) < avoidRefused {
			continue
		}
		if verdict == suspect.Suspected && s.suspects > 0 {
			continue
		}
		free = append(free, i)
	}
	if len(free) == 0 {
		return 0, false
	}
	return free[w.rand.IntN(len(free))], true
}

// leave gives the place of a suspect on a backend server free.
func (a *attempt) leave() {
	if a.apart {
		a.w.servers[a.server].suspects--
	}
}

// run reaches the backend server, which refuses connections when it is dead.
func (a *attempt) run() {
	w, s := a.w, a.w.servers[a.server]
	if a.entry.dead {
		a.leave()
		a.orphaned()
		return
	}
	if s.dead {
		a.leave()
		a.entry.refused[a.server] = w.Now
		a.entry.ledger.Withdrawn(w.Now, s.name, a.id)
		w.hosts[s.scheduler].ledger.Withdrawn(w.Now, s.name, a.id)
		a.decide(retry.Failure{Kind: retry.KindConnectRefused, Server: s.name})
		return
	}
	a.ran = true
	s.attempts[a.id] = a
	a.entry.ledger.Started(w.Now, s.name, a.id, workspace, a.content, a.apart)
	if a.crashes {
		w.After(20*time.Millisecond+w.spread(400*time.Millisecond), a.crash)
		return
	}
	w.After(200*time.Millisecond+time.Duration(w.rand.ExpFloat64()*float64(1500*time.Millisecond)), a.complete)
}

func (a *attempt) crash() {
	if a.w.servers[a.server].attempts[a.id] != a {
		return
	}
	a.w.lost[a.content]++
	a.w.crash(a.server)
}

func (a *attempt) complete() {
	w, s := a.w, a.w.servers[a.server]
	if s.attempts[a.id] != a {
		return
	}
	delete(s.attempts, a.id)
	a.leave()
	if a.entry.dead {
		a.orphaned()
		return
	}
	a.entry.ledger.Completed(w.Now, s.name, a.id)
	w.hosts[s.scheduler].ledger.Completed(w.Now, s.name, a.id)
	a.entry.policy.Succeeded(w.Now, workspace)
	w.result.Answered++
}

// broke notices that the stream broke off and that new connections are refused.
func (a *attempt) broke() {
	w, s := a.w, a.w.servers[a.server]
	if a.entry.dead {
		a.orphaned()
		return
	}
	w.noticed(a.entry, a.server)
	a.entry.ledger.Ended(w.Now, s.name, a.id)
	a.decide(retry.Failure{Kind: retry.KindCrashed, Server: s.name, Sent: true})
}

// orphaned takes a request out of the count whose entry host died with its caller's connection.
func (r *request) orphaned() {
	if !r.crashes {
		r.w.result.Bystanders--
	}
}

// decide follows the retry policy.
func (r *request) decide(f retry.Failure) {
	w := r.w
	if f.Verdict == suspect.Clear {
		f.Verdict = r.entry.ledger.Check(w.Now, workspace, r.content)
	}
	f.Idempotent, f.MayHaveRun, f.Attempt = true, r.ran, r.attempt
	f.TimeLeft = r.deadline.Sub(w.Now)
	d := r.entry.policy.Decide(w.Now, workspace, f)
	if d.Action == retry.ActionRetry {
		r.attempt++
		w.After(d.Backoff, r.try)
		return
	}
	if d.Kind == outcome.KindCrashing && !r.crashes {
		w.result.Wrong++
	}
	if r.crashes && r.resends < maxResends && !w.Resend {
		w.After(w.spread(3*time.Second), func() { w.sendCrasher(r.content, r.resends+1) })
	}
}

// sorted lists the attempts on a backend server in a fixed order.
func (w *world) sorted(s *server) []*attempt {
	list := make([]*attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.id.Attempt, b.id.Attempt))
	})
	return list
}
