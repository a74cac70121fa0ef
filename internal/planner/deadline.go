package planner

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

// decodeTime returns how long an engine with the given model takes to decode the rest of a response after its first event,
// if it decodes the response beside its present requests and the given number of engines prefill the prompt. It is the
// least time: prompts that the engine prefills meanwhile aren't counted.
func decodeTime(m *pass.Model, req *Request, engines int) time.Duration {
	events := req.LikelyTokens / m.Engine.EventTokens
	return time.Duration(events) * m.DecodeTime(1, req.PromptTokens/engines)
}

// leastDecodeTime returns how long an otherwise idle engine takes to decode the rest of the response to a request.
func (p *Planner) leastDecodeTime(req *Request) time.Duration {
	return decodeTime(pass.NewModel(p.engines[req.Service]), req, maxEnginesPerPrompt)
}

// endsInTime reports whether the first event of a request that is placed at c comes before its caller disconnects, and the
// response probably ends by its deadline.
func (p *Planner) endsInTime(req *Request, c *choice) bool {
	return c.firstEvent < req.firstEventTimeout() && !p.endsTooLate(req, c)
}

// endsTooLate reports whether the response to a request that is placed at c would probably be incomplete at the request's
// deadline, so that the engines would prefill its prompt for nothing.
func (p *Planner) endsTooLate(req *Request, c *choice) bool {
	model := c.primary.server.model
	if model == nil || p.asBefore {
		return false
	}
	decode := time.Duration(shortPrefillFactor * float64(decodeTime(model, req, len(c.helpers)+1)))
	return missProbability(c.firstEvent+decode, req.Deadline) > maxMissRisk
}
