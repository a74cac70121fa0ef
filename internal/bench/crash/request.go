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
	workspace        = "w"                    // of all requests
	maxResends       = 4                      // times that the caller of a crashing request sends it again
	recheckInterval  = 100 * time.Millisecond // until a request that can't start is checked again
	refusalAvoidance = 5 * time.Second        // how long an entry host avoids a backend server that refused a connection
)

type (
	// request is one request of a caller.
	request struct {
		cluster  *cluster
		entry    *host
		name     string
		content  uint64 // the fingerprint of its prompt
		crashes  bool   // crashes the backend server that it runs on
		resends  int    // times that the caller has sent the content before
		deadline time.Time
		attempt  uint32 // number of the current attempt, from 1
		ran      bool   // an attempt has reached a backend server
	}

	// attempt is one attempt to run a request on a backend server.
	attempt struct {
		*request
		id        protocol.AttemptID
		server    int  // index of the backend server
		suspected bool // whether the content was a suspect when the attempt was granted
	}
)

// sendBystander starts a bystander's request and schedules the next one. One in ten has one of the popular contents.
func (c *cluster) sendBystander() {
	if c.Now.After(c.lastArrival) {
		return
	}
	c.After(time.Duration(c.rng.ExpFloat64()*float64(time.Second)/arrivalsPerSecond), c.sendBystander)
	content := c.rng.Uint64()
	if c.rng.IntN(10) == 0 {
		content = uint64(c.rng.IntN(popularContents))
	}
	c.startRequest(&request{content: content})
}

// sendCrashingRequest starts a request that crashes the backend server it runs on. With Scenario.Resend, the caller
// sends it again after 1 s to 4 s, up to maxResends times, without waiting for the response.
func (c *cluster) sendCrashingRequest(content uint64, resends int) {
	c.startRequest(&request{content: content, crashes: true, resends: resends})
	if c.Resend && resends < maxResends {
		c.After(time.Second+c.jitter(3*time.Second), func() { c.sendCrashingRequest(content, resends+1) })
	}
}

// startRequest passes a request to a random entry host. It does nothing if that host has failed.
func (c *cluster) startRequest(r *request) {
	r.entry = c.hosts[c.rng.IntN(hostCount)]
	if r.entry.failed {
		return
	}
	c.requestCount++
	r.cluster, r.name, r.deadline = c, fmt.Sprint(c.requestCount), c.Now.Add(requestTimeout)
	if !r.crashes {
		c.result.Bystanders++
	}
	r.entry.policy.RecordRequest(c.Now, workspace)
	r.attempt = 1
	r.startAttempt()
}

// startAttempt asks a scheduler to grant the request's next attempt, if the verdicts of the entry host and of the
// scheduler allow it. A quarantined request is refused and one whose verdict is suspect.Pending, or that finds no
// server, is checked again after recheckInterval. An attempt whose scheduler's host has failed starts without a
// grant.
func (r *request) startAttempt() {
	c := r.cluster
	if r.entry.failed {
		r.discountBystander()
		return
	}
	verdict := r.entry.tracker.Check(c.Now, workspace, r.content)
	switch {
	case verdict == suspect.Quarantined || !c.Now.Before(r.deadline):
		r.applyRetryPolicy(retry.Failure{Kind: retry.KindNoGrant, Verdict: verdict})
		return
	case verdict == suspect.Pending:
		c.After(recheckInterval, r.startAttempt)
		return
	}
	i, ok := r.chooseServer(verdict)
	if !ok {
		c.After(recheckInterval, r.startAttempt)
		return
	}
	s := c.servers[i]
	scheduler := c.hosts[s.scheduler]
	a := &attempt{
		request: r, server: i,
		id: protocol.AttemptID{Host: r.entry.name, Request: r.name, Attempt: r.attempt},
	}
	if !scheduler.failed {
		req := &protocol.GrantRequest{Workspace: workspace, Fingerprint: r.content, Suspect: verdict == suspect.Suspected}
		verdict = scheduler.tracker.CheckGrant(c.Now, req)
		if verdict == suspect.Quarantined {
			r.applyRetryPolicy(retry.Failure{Kind: retry.KindNoGrant, GrantRefusal: protocol.RefusalCrashing, Verdict: verdict})
			return
		}
		if verdict == suspect.Pending || verdict == suspect.Suspected && s.runningSuspects > 0 {
			c.After(recheckInterval, r.startAttempt)
			return
		}
		scheduler.tracker.Started(c.Now, s.name, a.id, workspace, r.content, verdict == suspect.Suspected)
	}
	a.suspected = verdict == suspect.Suspected
	if a.suspected {
		s.runningSuspects++
	}
	c.After(time.Millisecond, a.reachServer)
}

// chooseServer picks a random backend server among those that haven't refused a connection from the entry host within
// refusalAvoidance and, for a suspect, run no other suspect. ok is false if there is none.
func (r *request) chooseServer(verdict suspect.Verdict) (int, bool) {
	c := r.cluster
	var candidates []int
	for i, s := range c.servers {
		at, refused := r.entry.refusedAt[i]
		if refused && c.Now.Sub(at) < refusalAvoidance {
			continue
		}
		if verdict == suspect.Suspected && s.runningSuspects > 0 {
			continue
		}
		candidates = append(candidates, i)
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[c.rng.IntN(len(candidates))], true
}

// releaseSuspectSlot lets the backend server run another suspect if this attempt is one of a suspect.
func (a *attempt) releaseSuspectSlot() {
	if a.suspected {
		a.cluster.servers[a.server].runningSuspects--
	}
}

// reachServer delivers the attempt to the backend server, which refuses the connection if it has crashed. If the entry
// host has failed, the attempt ends.
func (a *attempt) reachServer() {
	c, s := a.cluster, a.cluster.servers[a.server]
	if a.entry.failed {
		a.releaseSuspectSlot()
		a.discountBystander()
		return
	}
	if s.crashed {
		a.releaseSuspectSlot()
		a.entry.refusedAt[a.server] = c.Now
		a.entry.tracker.Withdraw(c.Now, s.name, a.id)
		c.hosts[s.scheduler].tracker.Withdraw(c.Now, s.name, a.id)
		a.applyRetryPolicy(retry.Failure{Kind: retry.KindConnectRefused, Server: s.name})
		return
	}
	a.ran = true
	s.attempts[a.id] = a
	a.entry.tracker.Started(c.Now, s.name, a.id, workspace, a.content, a.suspected)
	if a.crashes {
		c.After(20*time.Millisecond+c.jitter(400*time.Millisecond), a.crashServer)
		return
	}
	c.After(200*time.Millisecond+time.Duration(c.rng.ExpFloat64()*float64(1500*time.Millisecond)), a.complete)
}

// crashServer crashes the backend server and counts it as lost to the content, unless the attempt has already ended.
func (a *attempt) crashServer() {
	if a.cluster.servers[a.server].attempts[a.id] != a {
		return
	}
	a.cluster.lostServers[a.content]++
	a.cluster.crashServer(a.server)
}

// complete ends the attempt with a complete response, unless it has already ended. A bystander whose entry host has
// failed is removed from the count instead.
func (a *attempt) complete() {
	c, s := a.cluster, a.cluster.servers[a.server]
	if s.attempts[a.id] != a {
		return
	}
	delete(s.attempts, a.id)
	a.releaseSuspectSlot()
	if a.entry.failed {
		a.discountBystander()
		return
	}
	a.entry.tracker.Completed(c.Now, s.name, a.id)
	c.hosts[s.scheduler].tracker.Completed(c.Now, s.name, a.id)
	a.entry.policy.RecordSuccess(c.Now, workspace)
	c.result.Answered++
}

// handleBrokenStream runs when the entry host detects that the stream broke and that new connections are refused. The
// host records a crash of the backend server. If the entry host has failed, the attempt only ends.
func (a *attempt) handleBrokenStream() {
	c, s := a.cluster, a.cluster.servers[a.server]
	if a.entry.failed {
		a.discountBystander()
		return
	}
	c.recordCrash(a.entry, a.server)
	a.entry.tracker.Ended(c.Now, s.name, a.id)
	a.applyRetryPolicy(retry.Failure{Kind: retry.KindCrashed, Server: s.name, Sent: true})
}

// discountBystander removes a bystander from the count when its entry host has failed, which also ends the caller's
// connection.
func (r *request) discountBystander() {
	if !r.crashes {
		r.cluster.result.Bystanders--
	}
}

// applyRetryPolicy retries the request or ends it, as the entry host's retry policy decides on the failure. Without
// Scenario.Resend, the caller of a crashing request sends it again up to 3 s after it has ended.
func (r *request) applyRetryPolicy(f retry.Failure) {
	c := r.cluster
	if f.Verdict == suspect.Clear {
		f.Verdict = r.entry.tracker.Check(c.Now, workspace, r.content)
	}
	f.Idempotent, f.MayHaveRun, f.Attempt = true, r.ran, r.attempt
	f.TimeLeft = r.deadline.Sub(c.Now)
	d := r.entry.policy.Decide(c.Now, workspace, f)
	if d.Action == retry.ActionRetry {
		r.attempt++
		c.After(d.Backoff, r.startAttempt)
		return
	}
	if d.Kind == outcome.KindCrashesServer && !r.crashes {
		c.result.Wrong++
	}
	if r.crashes && r.resends < maxResends && !c.Resend {
		c.After(c.jitter(3*time.Second), func() { c.sendCrashingRequest(r.content, r.resends+1) })
	}
}

// sortedAttempts returns the attempts on a backend server ordered by request name and attempt number, so that runs with
// the same seed process them in the same order.
func (c *cluster) sortedAttempts(s *server) []*attempt {
	list := make([]*attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.id.Attempt, b.id.Attempt))
	})
	return list
}
