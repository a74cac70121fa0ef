// Package pass predicts when a model engine with continuous batching prefills prompts and runs passes. A pass prefills
// queued prompts and then makes PassSteps decode steps, which yield one event for each decoding request. The package
// does no I/O.
//
// While at least one request decodes, the engine runs one pass after another. Each pass prefills the prompts that had
// arrived when the pass began and makes one event for each decoding request, so prefill delays the events of decoding
// requests. While no request decodes, the engine prefills chunk by chunk, without passes. Prefill parts of prompts that
// are split over several engines go before prompts of the engine's own requests.
package pass
