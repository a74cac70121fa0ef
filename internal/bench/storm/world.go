package storm

import (
	"math/rand/v2"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/virtual"
	"github.com/turmericshunt/turmericshunt/internal/retry"
)

const (
	hostCount    = 20
	serverCount  = 16
	deadCount    = 5
	workspace    = "w"
	serviceTime  = 50 * time.Millisecond
	load         = 0.8 // of the capacity of all servers
	attemptTime  = time.Second
	deadline     = 4 * time.Second
	avoidRefused = 2 * time.Second
	measureFrom  = 5 * time.Second
	outageStart  = 20 * time.Second
	outageEnd    = 40 * time.Second
	recoverFrom  = 48 * time.Second
	runTime      = 60 * time.Second
	cancelLoss   = 0.2
	diagnosis    = 10 * time.Millisecond
)

type (
	// Result counts what happened in one run; rates are answers in time a second.
	Result struct {
		Requests int
		Extra    int // attempts beyond the first after one that may have run
		Before   float64
		During   float64
		Left     float64 // capacity during the outage
		After    float64
		Slowest  time.Duration // from a deadline to the final answer
	}

	// server works on one attempt after the other and skips canceled ones.
	server struct {
		epoch int
		dead  bool
		queue []*job
	}

	// job is one attempt at a server.
	job struct {
		request  *request
		attempt  uint32
		canceled bool
	}

	host struct {
		policy  *retry.Policy
		refused [serverCount]time.Time
	}

	world struct {
		virtual.Clock
		rand    *rand.Rand
		start   time.Time
		hosts   []*host
		servers []*server
		result  Result
	}

	request struct {
		w        *world
		h        *host
		deadline time.Time
		attempt  uint32
		ran      bool
		over     bool
	}
)

// Simulate runs one seed in virtual time; configure may change each host's policy before its use.
func Simulate(seed uint64, configure func(*retry.Policy)) Result {
	w := &world{rand: rand.New(rand.NewPCG(seed, seed))}
	w.start = time.Unix(1_000_000, 0)
	w.Now = w.start
	for range hostCount {
		p := &retry.Policy{Rand: rand.New(rand.NewPCG(seed, w.rand.Uint64()))}
		configure(p)
		w.hosts = append(w.hosts, &host{policy: p})
	}
	for range serverCount {
		w.servers = append(w.servers, &server{})
	}
	w.After(0, w.arrive)
	w.After(outageStart, func() { w.setDead(true) })
	w.After(outageEnd, func() { w.setDead(false) })
	w.RunUntil(w.start.Add(runTime + deadline))
	w.result.Before /= (outageStart - measureFrom).Seconds()
	w.result.During /= (outageEnd - outageStart).Seconds()
	w.result.After /= (runTime - recoverFrom).Seconds()
	w.result.Left = (serverCount - deadCount) / serviceTime.Seconds()
	return w.result
}

func (w *world) setDead(dead bool) {
	for _, s := range w.servers[:deadCount] {
		s.dead = dead
		s.epoch++
		s.queue = nil
	}
}

// arrive starts a request at a random host and sets the next one.
func (w *world) arrive() {
	if w.Now.Sub(w.start) > runTime {
		return
	}
	rate := load * serverCount / serviceTime.Seconds()
	w.After(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	w.result.Requests++
	r := &request{w: w, h: w.hosts[w.rand.IntN(hostCount)], deadline: w.Now.Add(deadline)}
	r.h.policy.Began(w.Now, workspace)
	r.try()
}

// choose takes the server with the shorter queue of two that did not refuse lately.
func (r *request) choose() int {
	var open []int
	for i, at := range r.h.refused {
		if at.IsZero() || r.w.Now.Sub(at) >= avoidRefused {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return r.w.rand.IntN(serverCount)
	}
	a, b := open[r.w.rand.IntN(len(open))], open[r.w.rand.IntN(len(open))]
	if len(r.w.servers[b].queue) < len(r.w.servers[a].queue) {
		return b
	}
	return a
}

// try sends an attempt, whose work a server does even if nobody waits for it any longer.
func (r *request) try() {
	w := r.w
	r.attempt++
	i := r.choose()
	s := w.servers[i]
	if s.dead {
		r.h.refused[i] = w.Now
		r.fail(retry.Failure{Kind: retry.KindConnectRefused})
		return
	}
	if r.ran {
		w.result.Extra++
	}
	r.ran = true
	attempt, epoch := r.attempt, s.epoch
	j := &job{request: r, attempt: attempt}
	s.queue = append(s.queue, j)
	if len(s.queue) == 1 {
		w.work(s)
	}
	w.After(min(attemptTime, r.deadline.Sub(w.Now)), func() {
		if r.attempt != attempt || r.over {
			return
		}
		kind := retry.KindSilent
		if s.epoch != epoch {
			kind = retry.KindCrashed
			r.h.refused[i] = w.Now
		}
		j.canceled = w.rand.Float64() >= cancelLoss
		r.fail(retry.Failure{Kind: kind, Sent: true})
	})
}

// work runs the first job of a server's queue and then the next.
func (w *world) work(s *server) {
	for len(s.queue) > 0 && s.queue[0].canceled {
		s.queue = s.queue[1:]
	}
	if len(s.queue) == 0 {
		return
	}
	j, epoch := s.queue[0], s.epoch
	w.After(serviceTime, func() {
		if s.epoch != epoch {
			return
		}
		if r := j.request; r.attempt == j.attempt && !r.over {
			r.answered()
		}
		s.queue = s.queue[1:]
		w.work(s)
	})
}

func (r *request) answered() {
	r.over = true
	r.h.policy.Succeeded(r.w.Now, workspace)
	switch at := r.w.Now.Sub(r.w.start); {
	case at >= measureFrom && at < outageStart:
		r.w.result.Before++
	case at >= outageStart && at < outageEnd:
		r.w.result.During++
	case at >= recoverFrom && at < runTime:
		r.w.result.After++
	}
}

// fail follows the policy after a failed attempt.
func (r *request) fail(f retry.Failure) {
	w := r.w
	f.Idempotent, f.Attempt, f.MayHaveRun = true, r.attempt, r.ran
	f.TimeLeft = r.deadline.Sub(w.Now)
	d := r.h.policy.Decide(w.Now, workspace, f)
	if d.Action != retry.ActionRetry {
		r.over = true
		w.result.Slowest = max(w.result.Slowest, w.Now.Sub(r.deadline))
		return
	}
	w.After(d.Backoff+diagnosis, r.try)
}
