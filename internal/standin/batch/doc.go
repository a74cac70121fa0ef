// Package batch simulates one model engine in virtual time: continuous batching with chunked prefill, priorities,
// a limited KV memory and a prefix cache.
//
// An Engine has no clock. The caller passes the current time to each method, asks Next when the next event is due and
// collects the events with Advance. The engine works in steps, the iterations of its batch loop. A step prefills at
// most ChunkTokens prompt tokens, in order of priority, and decodes one token for each sequence whose prompt is
// prefilled.
//
// The Blocks of a Job are hashes of its leading prompt blocks of BlockTokens tokens. Each hash covers the whole prefix
// up to the end of its block, so two prompts share a prefix as far as their hashes are equal.
package batch
