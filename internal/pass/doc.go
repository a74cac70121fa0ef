// Package pass predicts the passes of a model engine that batches continuously; it does no I/O.
//
// While some request writes, an engine works in passes: each reads the prompts that had arrived when it began and lets
// each writer make one event, so that reading sets the writers' pauses. While none writes, it reads chunk by chunk. Parts
// of prompts that it reads for other engines go before prompts of its own.
package pass
