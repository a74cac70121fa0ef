// Package engine is a stand-in for a model engine: it serves the HTTP interface of package engineapi on top of the
// simulated engine of package batch.
//
// ResponseText returns the text that the stand-in sends for a prompt, so that tests can tell whether a response is
// complete and belongs to its own prompt. POST /v1/faults switches faults on and off; GET /v1/counts returns Counts.
package engine
