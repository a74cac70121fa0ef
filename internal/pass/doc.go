// Package pass predicts the passes of a model engine that batches continuously; it does no I/O.
//
// An engine works in passes. A pass reads the prompts that had arrived when it began and, if some request writes, lets
// each writer make one event. All writers wait for the reading of their pass, so reading sets their pauses.
package pass
