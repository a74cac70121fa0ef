package planner

import (
	"math"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

const (
	// Spread of predicted times (scale of a logistic distribution), as a share of the target.
	predictionSpread = 0.06
	// Time that each target must leave for delivery from the engine to the caller.
	deliveryTime = 12 * time.Millisecond
	// Loss avoided for a short prompt, and cost added for a part of a long one, at a server whose slots all hold short
	// prompts; it is proportional to the share held. It keeps short prompts together, so that other engines are free
	// for the prefill of long prompts.
	shortSlotLoss = 0.04
	// Loss for each additional engine that prefills a prompt.
	extraEngineLoss = 0.01
	// Loss for a pass as long as the pause target. It favors short passes also where no request comes near a target.
	passLoss = 0.03
	// Loss for each second until the first event, for a request of value 1.
	firstEventLossPerSecond = 0.02
	// A prompt is long if one engine takes longer than this to prefill it. Several engines may prefill it together,
	// preferably engines without short prompts.
	longPrefill = 120 * time.Millisecond
	// Largest number of engines that prefill one prompt together.
	maxEnginesPerPrompt = 16
	// A short prompt waits for a better slot if its first event would come later than both its target and this time.
	maxLateFirstEvent = 600 * time.Millisecond
	// Time it takes to combine the prefilled parts of a prompt.
	mergeTime = 20 * time.Millisecond
)

// missProbability returns the probability that something predicted to take d takes longer than target allows.
func missProbability(d, target time.Duration) float64 {
	target -= deliveryTime
	if target <= 0 {
		return 1
	}
	x := (float64(d)/float64(target) - 1) / predictionSpread
	switch {
	case x < -8:
		return 0
	case x > 8:
		return 1
	}
	return 1 / (1 + math.Exp(-x))
}

// pauseLoss returns the share of a request's value that is expected to be lost if its stream pauses for d.
func pauseLoss(d time.Duration, req *Request) float64 {
	return missedTargetLoss*missProbability(d, req.PauseTarget) + (1-missedTargetLoss)*missProbability(d, req.PauseTimeout)
}

// firstEventLoss returns the share of a request's value that is expected to be lost if its first event arrives after d,
// where untilTarget is the time left until its first-event target.
func firstEventLoss(d, untilTarget time.Duration, req *Request) float64 {
	return missedTargetLoss*missProbability(d, untilTarget) +
		(1-missedTargetLoss)*missProbability(d, untilTarget+req.firstEventTimeout()-req.FirstTarget)
}

// candidate is a server that may prefill a prompt or a part of one, with the predicted times and losses.
type candidate struct {
	server       *server
	imposedLoss  float64       // expected loss of the server's other requests
	prefillStart time.Duration // time from now until the prefill starts if it belongs to the server's own request
	prefillEnd   time.Duration // time from now until the prefill is completed
	passTime     time.Duration // duration of the pass that contains the prefill
	failureRate  float64       // share of requests expected to fail at the server
	cost         float64       // cost of prefilling a part here, for comparison with other candidates
}

// view is the predicted state of one server's engine, to which a new prompt would be added.
type view struct {
	server      *server
	nextPass    time.Duration // time from now until the next pass starts
	decodeTime  time.Duration // duration of that pass without any prefill
	queuedParts time.Duration // queued prefill for requests of other engines
	queuedOwn   time.Duration // queued prefill of the engine's own requests
	failureRate float64       // share of requests expected to fail
	jobs        []jobLoss     // requests that run or wait at the server
}

// viewOf returns the view of a server whose service has an engine.
func viewOf(now time.Time, s *server) view {
	forecast := s.model.Forecast(now)
	v := view{
		server:      s,
		nextPass:    forecast.NextPass.Sub(now) + s.lag(now),
		decodeTime:  s.model.DecodeTime(0, 0),
		queuedParts: forecast.QueuedParts,
		queuedOwn:   forecast.QueuedOwn,
		failureRate: s.failureRate(now),
		jobs:        make([]jobLoss, len(s.jobs)),
	}
	for i, j := range s.jobs {
		v.jobs[i] = newJobLoss(now, j, &v)
	}
	return v
}

// passTime returns the duration of the next pass if no prefill is added.
func (v *view) passTime() time.Duration { return v.decodeTime + v.queuedParts + v.queuedOwn }

// candidateFor estimates the times and losses if the engine takes on a prefill with the given rated time. If part is
// set, the prefill counts as if it went before the engine's own queue, as parts do; else as if it joined that queue.
func (v *view) candidateFor(prefill time.Duration, part bool) candidate {
	prefill = time.Duration(float64(prefill) * v.server.model.Slowdown)
	before := v.passTime()
	after := before + prefill
	c := candidate{
		server: v.server, passTime: after, prefillStart: v.nextPass + v.queuedParts + v.queuedOwn,
		prefillEnd: v.nextPass + after, failureRate: v.failureRate,
	}
	if part {
		c.prefillEnd = v.nextPass + v.decodeTime + v.queuedParts + prefill
	}
	for i := range v.jobs {
		c.imposedLoss += v.jobs[i].increase(before, after)
	}
	return c
}

// extraPassTime returns the duration of the decode steps in the additional passes that a prompt needs if it exceeds the
// prefill capacity of one pass.
func extraPassTime(s *server, tokens int) time.Duration {
	capacity := s.model.Engine.PassSteps * s.model.Engine.ChunkTokens
	return time.Duration(tokens/capacity) * s.model.DecodeTime(0, 0)
}

// jobLoss holds the part of a job's expected loss that doesn't depend on the prefill that is considered for its server.
type jobLoss struct {
	job       *job
	value     float64       // request value
	remaining time.Duration // time until its deadline if it decodes, else until its first-event target
	needed    time.Duration // predicted time until its last event if it decodes, else until its first
	// Expected loss from missed targets, and probability of missing the deadline, if no prefill is added to the next
	// pass.
	currentLoss         float64
	currentDeadlineRisk float64
}

// newJobLoss returns the loss of j with v, the view of its server, of which only the times need to be set.
func newJobLoss(now time.Time, j *job, v *view) jobLoss {
	l := jobLoss{job: j, value: requestValue(j.request.PromptTokens)}
	if !j.decoding {
		l.remaining = j.firstTarget.Sub(now)
		l.needed = j.firstEvent.Sub(now)
		l.currentLoss = firstEventLoss(l.needed, l.remaining, &j.request)
		return l
	}
	l.remaining = j.deadline().Sub(now)
	l.needed = j.remainingDecode(v.decodeTime)
	l.currentLoss = l.pauseLoss(v.passTime())
	l.currentDeadlineRisk = missProbability(v.passTime()+l.needed, l.remaining)
	return l
}

// pauseLoss returns the expected loss of a decoding job if the next pass takes d.
func (l *jobLoss) pauseLoss(d time.Duration) float64 {
	if l.job.missesTarget {
		return (1 - missedTargetLoss) * missProbability(d, l.job.request.PauseTimeout)
	}
	return pauseLoss(d, &l.job.request)
}

// increase returns by how much the job's expected loss grows if the next pass takes after instead of before.
func (l *jobLoss) increase(before, after time.Duration) float64 {
	if !l.job.decoding {
		return l.value * (firstEventLoss(l.needed+after-before, l.remaining, &l.job.request) - l.currentLoss)
	}
	loss := l.pauseLoss(after) - l.currentLoss
	if after+l.needed < l.remaining/2 {
		return l.value * loss // it ends long before its deadline
	}
	deadlineRisk := missProbability(after+l.needed, l.remaining) - l.currentDeadlineRisk
	if l.job.missesTarget {
		deadlineRisk *= 1 - missedTargetLoss
	}
	return l.value * (loss + deadlineRisk)
}

// choice is a set of servers for one request, with the predicted times and losses.
type choice struct {
	primary     candidate
	helpers     []*server
	imposedLoss float64       // loss imposed on other requests
	loss        float64       // imposedLoss plus the expected loss of the request itself
	firstEvent  time.Duration // predicted time until the first event
}

// placeShort returns the best server for a short prompt. It reports false if no server can take the prompt, or if its
// first event would come too late there.
func (p *Planner) placeShort(now time.Time, req *Request, servers []*server) (choice, bool) {
	x := p.crossingOf(now, req)
	best, found := p.bestShort(now, req, servers, &x, false)
	if x.domain != "" && (!found || best.loss > x.bytes+crossingLoss-shortSlotLoss) {
		if far, ok := p.bestShort(now, req, servers, &x, true); ok && (!found || far.loss < best.loss) {
			best, found = far, true
		}
	}
	if found && best.firstEvent > max(req.FirstTarget, maxLateFirstEvent) {
		// It would miss its target there; another server may be free long before.
		return choice{}, false
	}
	return best, found
}

// bestShort returns the best server for a short prompt among those that it must cross to use, or among the others.
func (p *Planner) bestShort(now time.Time, req *Request, servers []*server, x *crossing, cross bool) (choice, bool) {
	best, found := choice{loss: math.Inf(1)}, false
	for _, s := range servers {
		if x.crosses(s) != cross || !s.canBePrimary(now, req.PromptTokens+req.OutputTokens) {
			continue
		}
		v := viewOf(now, s)
		cand := v.candidateFor(pass.PrefillTime(s.model.Engine, req.PromptTokens, 1), false)
		loss := cand.imposedLoss - shortSlotLoss*s.shortSlotShare()
		if cross {
			loss += ownLoss(req, cand.prefillEnd+x.delay, &cand) + crossingLoss + x.cost(s)
		} else {
			loss += ownLoss(req, cand.prefillEnd, &cand)
		}
		if loss < best.loss {
			best, found = choice{
				primary: cand, imposedLoss: cand.imposedLoss, loss: loss, firstEvent: cand.prefillEnd,
			}, true
		}
	}
	return best, found
}

// ownLoss returns the expected loss of the request itself if it is placed at c, with its first event after firstEvent.
func ownLoss(req *Request, firstEvent time.Duration, c *candidate) float64 {
	value := requestValue(req.PromptTokens)
	loss := value * (firstEventLoss(firstEvent, req.FirstTarget, req) + firstEventLossPerSecond*firstEvent.Seconds() +
		c.failureRate)
	return loss + passLoss*float64(c.passTime)/float64(max(req.PauseTarget, time.Millisecond))
}
