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
	return lateLoss*lateness(d, a.GapAim) + (1-lateLoss)*lateness(d, a.abandonAfter())
}

// firstLoss returns the share of a request's value that is lost when its first event takes d more, of left.
func firstLoss(d, left time.Duration, a *Ask) float64 {
	return lateLoss*lateness(d, left) + (1-lateLoss)*lateness(d, min(left+a.abandonAfter(), a.Deadline))
}

// spot is the cost of reading a prompt, or a part of one, at one server.
type spot struct {
	server *server
	harm   float64       // what the requests beside it lose
	begin  time.Duration // from now until its reading begins, for a request of the server's own
	finish time.Duration // from now until it is read
	pass   time.Duration // of the pass in which it is read
}

// spotAt reckons what reading for the given time costs at s, of a part for another server or of a prompt of its own.
func (p *Planner) spotAt(now time.Time, s *server, read time.Duration, part bool) spot {
	o := s.model.Outlook(now)
	read = time.Duration(float64(read) * s.model.Pace)
	steps := s.model.Steps(0, 0)
	before := steps + o.Parts + o.Own
	after := before + read
	begin := o.Begin.Sub(now) + s.lag(now)
	sp := spot{server: s, pass: after, begin: begin + o.Parts + o.Own, finish: begin + after}
	if part {
		sp.finish = begin + steps + o.Parts + read
	}
	for _, j := range s.jobs {
		sp.harm += lossBeside(now, j, before, after)
	}
	return sp
}

// extraPasses returns the time of the token steps in further passes that a prompt over one pass's reading takes.
func extraPasses(s *server, tokens int) time.Duration {
	capacity := s.model.Engine.PassSteps * s.model.Engine.ChunkTokens
	return time.Duration(tokens/capacity) * s.model.Steps(0, 0)
}

// lossBeside returns what job j is expected to lose when a pass takes after instead of before.
func lossBeside(now time.Time, j *job, before, after time.Duration) float64 {
	worth := value(j.ask.PromptTokens)
	if !j.writing {
		left := j.aim.Sub(now)
		first := j.first.Sub(now)
		return worth * (firstLoss(first+after-before, left, &j.ask) - firstLoss(first, left, &j.ask))
	}
	if j.late {
		leave := j.ask.abandonAfter()
		return worth * (1 - lateLoss) * (lateness(after, leave) - lateness(before, leave))
	}
	return worth * (pauseLoss(after, &j.ask) - pauseLoss(before, &j.ask))
}

// failing returns what the ask is expected to lose by failures at s.
func failing(now time.Time, s *server, a *Ask) float64 {
	return s.failureShare(now) * value(a.PromptTokens)
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
		sp := p.spotAt(now, s, pass.ReadTime(s.model.Engine, a.PromptTokens, 1), false)
		loss := sp.harm + ownLoss(now, s, a, sp.finish, sp.pass) - packWeight*s.shortShare()
		if loss < best.loss {
			best, found = choice{lead: sp, harm: sp.harm, loss: loss, first: sp.finish}, true
		}
	}
	return best, found
}

// ownLoss is what the ask itself is expected to lose at s.
func ownLoss(now time.Time, s *server, a *Ask, first, passTime time.Duration) float64 {
	own := value(a.PromptTokens) * (firstLoss(first, a.FirstAim, a) + firstWeight*first.Seconds())
	return own + failing(now, s, a) + passWeight*float64(passTime)/float64(max(a.GapAim, time.Millisecond))
}
