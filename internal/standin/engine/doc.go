// Package engine is a stand-in for a model engine: the HTTP interface of engineapi over the model of package batch.
//
// Answer gives the text that it sends for a prompt, so that tests can tell whether an answer is whole and belongs to
// its own prompt. Faults are switched on and off by POST /v1/faults; GET /v1/counts
// answers with Counts.
package engine
