package planner

import (
	"math"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

const (
	// Spread of the predicted times, as a share of the aim.
	predictionSpread = 0.06
	// What the way from the engine to the caller takes of each aim.
	wayTime = 12 * time.Millisecond
	// Weight of keeping short prompts together, so that other engines are free for long reading.
	packWeight = 0.04
	// Weight of one more reader of a prompt.
	readerWeight = 0.01
	// Weight of a longer pass, far from any aim.
	passWeight = 0.03
	// Loss for each second to the first event, for a request of value 1.
	firstWeight = 0.02
	// A prompt that takes longer to read than this is heavy: it is read by several engines, apart from short ones.
	heavyReading = 120 * time.Millisecond
	maxReaders   = 16
	// A light prompt waits for a better place if its first event would come later than its aim and than this.
	longestLate = 600 * time.Millisecond
	// What putting the parts of a prompt together takes.
	jointTime = 20 * time.Millisecond
)

// lateness returns the probability that something predicted to take d misses its aim.
func lateness(d, aim time.Duration) float64 {
	aim -= wayTime
	if aim <= 0 {
		return 1
	}
	x := (float64(d)/float64(aim) - 1) / predictionSpread
	switch {
	case x < -8:
		return 0
	case x > 8:
		return 1
	}
	return 1 / (1 + math.Exp(-x))
}

// pauseLoss returns the share of a request's value that is lost when its stream pauses for d.
func pauseLoss(d time.Duration, a *Ask) float64 {
	return lateLoss*lateness(d, a.GapAim) + (1-lateLoss)*lateness(d, a.MaxPause)
}

// firstLoss returns the share of a request's value that is lost when its first event takes d more, of left.
func firstLoss(d, left time.Duration, a *Ask) float64 {
	return lateLoss*lateness(d, left) + (1-lateLoss)*lateness(d, left+a.limit()-a.FirstAim)
}

// spot is the cost of reading a prompt, or a part of one, at one server.
type spot struct {
	server *server
	harm   float64       // what the requests beside it lose
	begin  time.Duration // from now until its reading begins, for a request of the server's own
	finish time.Duration // from now until it is read
	pass   time.Duration // of the pass in which it is read
	fails  float64       // share of requests expected to fail at the server
	cost   float64       // of reading a part here, for comparing servers
}

// view is what a prompt finds at one server.
type view struct {
	server *server
	begin  time.Duration // from now until the next pass
	steps  time.Duration // of that pass without reading
	parts  time.Duration // of reading that waits
	own    time.Duration
	fails  float64 // share of requests expected to fail
	beside []neighbor
}

func viewOf(now time.Time, s *server) view {
	o := s.model.Outlook(now)
	v := view{
		server: s,
		begin:  o.Begin.Sub(now) + s.lag(now),
		steps:  s.model.Steps(0, 0),
		parts:  o.Parts,
		own:    o.Own,
		fails:  s.failureShare(now),
		beside: make([]neighbor, len(s.jobs)),
	}
	for i, j := range s.jobs {
		v.beside[i] = neighborOf(now, j, &v)
	}
	return v
}

// pass returns how long the next pass takes without further reading.
func (v *view) pass() time.Duration { return v.steps + v.parts + v.own }

// spotAt reckons what reading for the given time costs, of a part for another server or of a prompt of the server's own.
func (v *view) spotAt(read time.Duration, part bool) spot {
	read = time.Duration(float64(read) * v.server.model.Pace)
	before := v.pass()
	after := before + read
	sp := spot{server: v.server, pass: after, begin: v.begin + v.parts + v.own, finish: v.begin + after, fails: v.fails}
	if part {
		sp.finish = v.begin + v.steps + v.parts + read
	}
	for i := range v.beside {
		sp.harm += v.beside[i].loss(before, after)
	}
	return sp
}

// extraPasses returns the time of the token steps in further passes that a prompt over one pass's reading takes.
func extraPasses(s *server, tokens int) time.Duration {
	capacity := s.model.Engine.PassSteps * s.model.Engine.ChunkTokens
	return time.Duration(tokens/capacity) * s.model.Steps(0, 0)
}

// neighbor is a job at a server with what doesn't depend on the reading that is weighed beside it.
type neighbor struct {
	job   *job
	worth float64
	left  time.Duration // until its deadline if it writes, else until its aim
	rest  time.Duration // until its last event if it writes, else until its first
	// What it loses by lateness, and the risk that it isn't done by its deadline, in the next pass as it is.
	already    float64
	unfinished float64
}

func neighborOf(now time.Time, j *job, v *view) neighbor {
	n := neighbor{job: j, worth: value(j.ask.PromptTokens)}
	if !j.writing {
		n.left = j.aim.Sub(now)
		n.rest = j.first.Sub(now)
		n.already = firstLoss(n.rest, n.left, &j.ask)
		return n
	}
	n.left = j.deadline().Sub(now)
	n.rest = j.toWrite(v.steps)
	n.already = n.pauseLoss(v.pass())
	n.unfinished = lateness(v.pass()+n.rest, n.left)
	return n
}

// pauseLoss returns what a job that writes loses when the next pass takes d.
func (n *neighbor) pauseLoss(d time.Duration) float64 {
	if n.job.late {
		return (1 - lateLoss) * lateness(d, n.job.ask.MaxPause)
	}
	return pauseLoss(d, &n.job.ask)
}

// loss returns what the job is expected to lose when the next pass takes after instead of before.
func (n *neighbor) loss(before, after time.Duration) float64 {
	if !n.job.writing {
		return n.worth * (firstLoss(n.rest+after-before, n.left, &n.job.ask) - n.already)
	}
	loss := n.pauseLoss(after) - n.already
	if after+n.rest < n.left/2 {
		return n.worth * loss // it will be done long before its deadline
	}
	unfinished := lateness(after+n.rest, n.left) - n.unfinished
	if n.job.late {
		unfinished *= 1 - lateLoss
	}
	return n.worth * (loss + unfinished)
}

// choice is a set of servers for one ask.
type choice struct {
	lead    spot
	helpers []*server
	harm    float64 // to other requests
	loss    float64 // harm, and what the ask itself loses
	first   time.Duration
}

// single returns the best choice of one server for a light prompt.
func (p *Planner) single(now time.Time, a *Ask, servers []*server) (choice, bool) {
	best, found := choice{loss: math.Inf(1)}, false
	for _, s := range servers {
		if !s.leads(now, a.PromptTokens+a.OutputTokens) {
			continue
		}
		v := viewOf(now, s)
		sp := v.spotAt(pass.ReadTime(s.model.Engine, a.PromptTokens, 1), false)
		loss := sp.harm + ownLoss(a, sp.finish, &sp) - packWeight*s.shortShare()
		if loss < best.loss {
			best, found = choice{lead: sp, harm: sp.harm, loss: loss, first: sp.finish}, true
		}
	}
	if found && best.first > max(a.FirstAim, longestLate) {
		// It is late there; another server may be free long before.
		return choice{}, false
	}
	return best, found
}

// ownLoss is what the ask itself is expected to lose at the spot, with its first event after first.
func ownLoss(a *Ask, first time.Duration, sp *spot) float64 {
	worth := value(a.PromptTokens)
	loss := worth * (firstLoss(first, a.FirstAim, a) + firstWeight*first.Seconds() + sp.fails)
	return loss + passWeight*float64(sp.pass)/float64(max(a.GapAim, time.Millisecond))
}
