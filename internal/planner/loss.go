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
	// Weight of keeping short requests together, so that other engines are free for long reading.
	packWeight = 0.04
	// Weight of a long writer's context on the short writers beside it.
	contextWeight = 0.02
	// Weight of one more reader of a prompt.
	readerWeight = 0.02
	// Weight of a longer pass, far from any aim.
	passWeight = 0.03
	// Prompts over this are long: they are read apart from short ones.
	longPrompt = 30000
	maxHelpers = 16
	// Loss for each second to the first event, for a request of value 1.
	firstWeight = 0.01
	// Loss for each second that a joint prompt waits at its lead, for a request of value 1.
	beginWeight = 0.2
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

// spot is the cost of reading a part of a prompt at one server.
type spot struct {
	server *server
	loss   float64       // to the requests beside it
	begin  time.Duration // from now until its reading begins, for a request of the server's own
	finish time.Duration // from now until the part is read
	pass   time.Duration // of the pass in which it is read
	lead   bool          // has a free slot and the memory to write
}

// spotAt reckons what it costs to read a prompt, or a part of one for another server, at s.
func (p *Planner) spotAt(now time.Time, s *server, a *Ask, read time.Duration, part bool) spot {
	o := s.model.Outlook(now)
	read = time.Duration(float64(read) * s.model.Pace)
	steps := s.model.Steps(0, 0)
	before := steps + o.Parts + o.Own
	after := before + read
	begin := o.Begin.Sub(now) + s.lag(now)
	sp := spot{server: s, pass: after, begin: begin + o.Parts + o.Own}
	if part {
		sp.finish = begin + steps + o.Parts + read
	} else {
		sp.finish = begin + after
		sp.finish += p.extraPasses(s, a.PromptTokens)
	}
	for _, j := range s.jobs {
		sp.loss += p.lossBeside(now, j, before, after)
	}
	sp.loss += passWeight * float64(after) / float64(250*time.Millisecond)
	return sp
}

// extraPasses returns the time of the token steps in further passes that a prompt over one pass's reading takes.
func (p *Planner) extraPasses(s *server, tokens int) time.Duration {
	if s.model.Writers() == 0 {
		return 0
	}
	capacity := s.model.Engine.PassSteps * s.model.Engine.ChunkTokens
	return time.Duration(tokens/capacity) * s.model.Steps(0, 0)
}

// lossBeside returns what job j is expected to lose when a pass takes after instead of before.
func (p *Planner) lossBeside(now time.Time, j *job, before, after time.Duration) float64 {
	worth := value(j.ask.PromptTokens)
	if j.writing {
		loss := pauseLoss(after, &j.ask) - pauseLoss(before, &j.ask)
		if j.late {
			loss = (1 - lateLoss) * (lateness(after, j.ask.abandonAfter()) - lateness(before, j.ask.abandonAfter()))
		}
		return worth * loss
	}
	left := j.aim.Sub(now)
	first := j.first.Sub(now)
	return worth * (firstLoss(first+after-before, left, &j.ask) - firstLoss(first, left, &j.ask))
}

// failing returns what the ask is expected to lose by failures at s.
func failing(now time.Time, s *server, a *Ask) float64 {
	return s.failureShare(now) * value(a.PromptTokens)
}

// choice is a set of servers for one ask.
type choice struct {
	lead    spot
	helpers []*server
	loss    float64
	first   time.Duration
}

// single returns the best choice of one server.
func (p *Planner) single(now time.Time, a *Ask, servers []*server) (choice, bool) {
	best, found := choice{loss: math.Inf(1)}, false
	for _, s := range servers {
		if !p.leads(now, s, a, a.PromptTokens+a.OutputTokens) {
			continue
		}
		read := pass.ReadTime(s.model.Engine, a.PromptTokens, 1)
		sp := p.spotAt(now, s, a, read, false)
		loss := sp.loss + p.ownLoss(now, s, a, sp.finish, sp.pass) + p.packing(s, a)
		if loss < best.loss {
			best, found = choice{lead: sp, loss: loss, first: sp.finish}, true
		}
	}
	return best, found
}

// ownLoss is what the ask itself is expected to lose at s.
func (p *Planner) ownLoss(now time.Time, s *server, a *Ask, first, passTime time.Duration) float64 {
	own := value(a.PromptTokens) * (firstLoss(first, a.FirstAim, a) + firstWeight*first.Seconds())
	return own + failing(now, s, a) + passWeight*float64(passTime)/float64(max(a.GapAim, time.Millisecond))
}

// packing is negative where short requests are together and positive where a long one would slow short ones.
func (p *Planner) packing(s *server, a *Ask) float64 {
	short := 0
	for _, j := range s.jobs {
		if j.ask.PromptTokens <= longPrompt {
			short++
		}
	}
	share := float64(short) / float64(s.slots())
	if a.PromptTokens <= longPrompt {
		return -packWeight * share
	}
	return (packWeight + contextWeight*float64(a.PromptTokens)/100000) * share * 4
}

// joined returns the best choice of readers servers, of which one writes.
func (p *Planner) joined(now time.Time, a *Ask, servers []*server, readers int) (choice, bool) {
	var spots []spot
	for _, s := range servers {
		if len(s.helps) >= s.slots() {
			continue
		}
		read := pass.ReadTime(s.model.Engine, a.PromptTokens, readers)
		sp := p.spotAt(now, s, a, read, true)
		sp.lead = p.leads(now, s, a, a.PromptTokens+a.OutputTokens)
		spots = append(spots, sp)
	}
	sortSpots(spots, a)
	lead := p.leadOf(spots, a)
	if lead < 0 || len(spots) < readers {
		return choice{}, false
	}
	c := choice{lead: spots[lead]}
	// The others get their parts once the lead begins.
	begin := c.lead.begin
	finish := c.lead.finish + begin
	c.loss = c.lead.loss + p.packing(c.lead.server, a)
	for i := 0; i < len(spots) && len(c.helpers) < readers-1; i++ {
		if i == lead {
			continue
		}
		c.helpers = append(c.helpers, spots[i].server)
		c.loss += spots[i].loss + failing(now, spots[i].server, a)
		finish = max(finish, begin+spots[i].finish)
	}
	c.first = finish + jointTime
	c.loss += p.ownLoss(now, c.lead.server, a, c.first, c.lead.pass) + readerWeight*float64(readers-1)
	return c, true
}

// jointTime is what putting the parts together takes.
const jointTime = 20 * time.Millisecond

// leadOf returns the index of the best spot that may write, or -1.
func (p *Planner) leadOf(spots []spot, a *Ask) int {
	best, lead := math.Inf(1), -1
	for i := range spots {
		if !spots[i].lead {
			continue
		}
		cost := spotCost(&spots[i], a) + p.packing(spots[i].server, a) +
			beginWeight*value(a.PromptTokens)*spots[i].begin.Seconds()
		if cost < best {
			best, lead = cost, i
		}
	}
	return lead
}
