// Package planner decides which backend server runs each request of all entry hosts. It does no I/O.
//
// One planner knows all requests in progress and predicts the passes of each engine with package pass. It places a
// request where the expected loss is smallest. Loss is value to callers (requestValue) that missed targets and
// deadlines cost: the loss of the request itself if it misses its first-event target, and the loss imposed on the other
// requests of the server if the prefill of its prompt makes their pauses too long. Several engines prefill a long
// prompt together. A placement request for which no slot is free waits here, in order of urgency, or is refused at once
// if no slot will be free in time.
package planner
