package grant

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Weight of a new observation, and the bounds of what is learned.
const (
	learnWeight   = 0.05
	leastSpeed    = 0.1
	mostSpeed     = 10.0
	leastOutput   = 0.05
	shortestLearn = 10 * time.Millisecond
	tailPart      = 0.97
	tailStep      = 0.02
)

// cost is what has been learned about a model on this backend server.
type cost struct {
	speed  float64 // prefill rate over the reported one
	output float64 // output tokens over the asked ones, on average
	tail   float64 // output tokens over the asked ones that tailPart of the answers stay below
	gap    float64 // seconds between output tokens; 0 before the first answer
}

func (s *Scheduler) cost(model string) *cost {
	if model == "" && len(s.load.Models) > 0 {
		model = s.load.Models[0]
	}
	c, ok := s.costs[model]
	if !ok {
		c = &cost{speed: 1, output: 1, tail: 1}
		s.costs[model] = c
	}
	return c
}

// learnPrefill compares when the first token came with when it was expected.
func (s *Scheduler) learnPrefill(now time.Time, r *reservation) {
	if r.ask.Bytes > 0 {
		return // a part of a spread prompt, which waits for the parts before it
	}
	expected := r.expected
	if r.left > 0 {
		expected = now.Add(seconds(r.left / s.rate(r.ask.Model)))
	}
	predicted, actual := expected.Sub(r.granted), now.Sub(r.granted)
	if predicted < shortestLearn || actual < shortestLearn {
		return
	}
	c := s.cost(r.ask.Model)
	sample := c.speed * predicted.Seconds() / actual.Seconds()
	c.speed = min(max(c.speed+learnWeight*(sample-c.speed), leastSpeed), mostSpeed)
}

// learnFinish takes in how long the answer was and how fast its tokens came.
func (s *Scheduler) learnFinish(now time.Time, r *reservation, fin protocol.Finish) {
	if fin.Crashed || fin.OutputTokens < 2 || r.ask.OutputTokens <= 0 {
		return
	}
	c := s.cost(r.ask.Model)
	sample := float64(fin.OutputTokens) / float64(r.ask.OutputTokens)
	c.output = min(max(c.output+learnWeight*(sample-c.output), leastOutput), 1)
	if sample > c.tail {
		c.tail = min(c.tail+tailStep*tailPart, 1)
	} else {
		c.tail = max(c.tail-tailStep*(1-tailPart), leastOutput)
	}
	if r.first.IsZero() {
		return
	}
	gap := now.Sub(r.first).Seconds() / float64(fin.OutputTokens-1)
	if c.gap == 0 {
		c.gap = gap
	}
	c.gap += learnWeight * (gap - c.gap)
}
