package planner

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/appointment"
	"github.com/turmericshunt/turmericshunt/internal/pass"
)

// returnKey names an order of return. Short prompts wait for slots, long ones for engines that are clear.
type returnKey struct {
	service string
	long    bool
}

// busyHorizon is the longest time for which callers are kept away for lack of slots or engines: twice the longest deadline
// of a prompt. The callers that were refused before have given up by then.
const busyHorizon = 30 * time.Second

// returnAfter returns the time after which the caller of w, which is refused for lack of capacity, may return, of which req
// is the present form: when slots or engines are free, after wait at the earliest, and those that were refused before it have
// been served.
func (r *round) returnAfter(w *waitingRequest, req *Request, q *serviceQueue, wait time.Duration) time.Duration {
	if r.planner.asBefore {
		return max(wait, minRetryAfter)
	}
	key := returnKey{req.Service, w.long}
	order := r.planner.busyReturns[key]
	if order == nil {
		order = &appointment.Order{Horizon: busyHorizon}
		r.planner.busyReturns[key] = order
	}
	return order.Next(r.now, req.Fingerprint, max(wait, minRetryAfter), r.workOf(w, req, q))
}

// workOf returns for how long the request takes up what the service has for its kind: all engines that prefill long prompts,
// or the next slot that becomes free.
func (r *round) workOf(w *waitingRequest, req *Request, q *serviceQueue) time.Duration {
	if w.long && q.longQueue != nil {
		return pass.PrefillTime(r.planner.engines[req.Service], req.PromptTokens, q.longQueue.engines)
	}
	endTimes := r.endTimes(req.Service, q)
	if len(endTimes) == 0 {
		return 0
	}
	return endTimes[len(endTimes)-1] / time.Duration(len(endTimes))
}
