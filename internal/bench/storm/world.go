package storm

import (
	"math/rand/v2"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/virtual"
	"github.com/turmericshunt/turmericshunt/internal/retry"
)

const (
	hostCount        = 20
	serverCount      = 16
	crashedCount     = 5
	workspace        = "w"
	serviceTime      = 50 * time.Millisecond
	load             = 0.8 // as a share of the capacity of all servers
	attemptTimeout   = time.Second
	deadline         = 4 * time.Second
	refusedAvoidance = 2 * time.Second
	measureFrom      = 5 * time.Second // start of the interval that Result.Before covers
	outageStart      = 20 * time.Second
	outageEnd        = 40 * time.Second
	recoverFrom      = 48 * time.Second // start of the interval that Result.After covers
	runTime          = 60 * time.Second
	cancelLossShare  = 0.2                   // share of cancellations that don't reach the server
	diagnosisTime    = 10 * time.Millisecond // from a failure until the host retries, besides the backoff
)

type (
	// Result holds the counts and rates of one run. Before, During and After are the responses per second before,
	// during and after the outage.
	Result struct {
		Requests int
		Extra    int // attempts that started after an earlier attempt of the request may have run
		Before   float64
		During   float64
		Left     float64 // responses per second that the servers still up can give during the outage
		After    float64
		Slowest  time.Duration // longest time from a deadline until a request ends without success
	}

	// server runs queued attempts one after the other and skips canceled ones.
	server struct {
		epoch int // counts the times that the server went down or came back
		down  bool
		queue []*job
	}

	// job is one attempt in a server's queue.
	job struct {
		request  *request
		attempt  uint32
		canceled bool
	}

	host struct {
		policy    *retry.Policy
		refusedAt [serverCount]time.Time // when the host last found each server down; zero if it never did
	}

	sim struct {
		virtual.Clock
		rand    *rand.Rand
		start   time.Time
		hosts   []*host
		servers []*server
		result  Result
	}

	request struct {
		sim        *sim
		h          *host
		deadline   time.Time
		attempt    uint32
		mayHaveRun bool
		ended      bool
	}
)

// Simulate runs one seed in virtual time and returns its result. It calls configure with each host's retry policy
// before it is used, so that a caller can modify the policy.
func Simulate(seed uint64, configure func(*retry.Policy)) Result {
	s := &sim{rand: rand.New(rand.NewPCG(seed, seed))}
	s.start = time.Unix(1_000_000, 0)
	s.Now = s.start
	for range hostCount {
		p := &retry.Policy{Rand: rand.New(rand.NewPCG(seed, s.rand.Uint64()))}
		configure(p)
		s.hosts = append(s.hosts, &host{policy: p})
	}
	for range serverCount {
		s.servers = append(s.servers, &server{})
	}
	s.After(0, s.sendRequest)
	s.After(outageStart, func() { s.setDown(true) })
	s.After(outageEnd, func() { s.setDown(false) })
	s.RunUntil(s.start.Add(runTime + deadline))
	s.result.Before /= (outageStart - measureFrom).Seconds()
	s.result.During /= (outageEnd - outageStart).Seconds()
	s.result.After /= (runTime - recoverFrom).Seconds()
	s.result.Left = (serverCount - crashedCount) / serviceTime.Seconds()
	return s.result
}

func (s *sim) setDown(down bool) {
	for _, srv := range s.servers[:crashedCount] {
		srv.down = down
		srv.epoch++
		srv.queue = nil
	}
}

// sendRequest starts a request at a random host and schedules the next one.
func (s *sim) sendRequest() {
	if s.Now.Sub(s.start) > runTime {
		return
	}
	rate := load * serverCount / serviceTime.Seconds()
	s.After(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), s.sendRequest)
	s.result.Requests++
	r := &request{sim: s, h: s.hosts[s.rand.IntN(hostCount)], deadline: s.Now.Add(deadline)}
	r.h.policy.RecordRequest(s.Now, workspace)
	r.startAttempt()
}

// chooseServer returns the one with the shorter queue of two random servers, leaving out those that the host has found
// down within refusedAvoidance. If no server remains, it returns a random one.
func (r *request) chooseServer() int {
	var candidates []int
	for i, at := range r.h.refusedAt {
		if at.IsZero() || r.sim.Now.Sub(at) >= refusedAvoidance {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return r.sim.rand.IntN(serverCount)
	}
	a, b := candidates[r.sim.rand.IntN(len(candidates))], candidates[r.sim.rand.IntN(len(candidates))]
	if len(r.sim.servers[b].queue) < len(r.sim.servers[a].queue) {
		return b
	}
	return a
}

// startAttempt sends an attempt to a server. The server runs it, unless canceled, even after the host has stopped
// waiting for it.
func (r *request) startAttempt() {
	s := r.sim
	r.attempt++
	i := r.chooseServer()
	srv := s.servers[i]
	if srv.down {
		r.h.refusedAt[i] = s.Now
		r.fail(retry.Failure{Kind: retry.KindConnectRefused})
		return
	}
	if r.mayHaveRun {
		s.result.Extra++
	}
	r.mayHaveRun = true
	attempt, epoch := r.attempt, srv.epoch
	j := &job{request: r, attempt: attempt}
	srv.queue = append(srv.queue, j)
	if len(srv.queue) == 1 {
		s.runNext(srv)
	}
	s.After(min(attemptTimeout, r.deadline.Sub(s.Now)), func() {
		if r.attempt != attempt || r.ended {
			return
		}
		kind := retry.KindSilent
		if srv.epoch != epoch {
			kind = retry.KindCrashed
			r.h.refusedAt[i] = s.Now
		}
		j.canceled = s.rand.Float64() >= cancelLossShare
		r.fail(retry.Failure{Kind: kind, Sent: true})
	})
}

// runNext runs the first job of a server's queue that isn't canceled, and then the following ones.
func (s *sim) runNext(srv *server) {
	for len(srv.queue) > 0 && srv.queue[0].canceled {
		srv.queue = srv.queue[1:]
	}
	if len(srv.queue) == 0 {
		return
	}
	j, epoch := srv.queue[0], srv.epoch
	s.After(serviceTime, func() {
		if srv.epoch != epoch {
			return
		}
		if r := j.request; r.attempt == j.attempt && !r.ended {
			r.succeed()
		}
		srv.queue = srv.queue[1:]
		s.runNext(srv)
	})
}

func (r *request) succeed() {
	r.ended = true
	r.h.policy.RecordSuccess(r.sim.Now, workspace)
	switch at := r.sim.Now.Sub(r.sim.start); {
	case at >= measureFrom && at < outageStart:
		r.sim.result.Before++
	case at >= outageStart && at < outageEnd:
		r.sim.result.During++
	case at >= recoverFrom && at < runTime:
		r.sim.result.After++
	}
}

// fail handles a failed attempt: it retries or ends the request, as the host's policy decides.
func (r *request) fail(f retry.Failure) {
	s := r.sim
	f.Idempotent, f.Attempt, f.MayHaveRun = true, r.attempt, r.mayHaveRun
	f.TimeLeft = r.deadline.Sub(s.Now)
	d := r.h.policy.Decide(s.Now, workspace, f)
	if d.Action != retry.ActionRetry {
		r.ended = true
		s.result.Slowest = max(s.result.Slowest, s.Now.Sub(r.deadline))
		return
	}
	s.After(d.Backoff+diagnosisTime, r.startAttempt)
}
