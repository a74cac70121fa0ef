// Package batch models one model engine in virtual time: continuous batching with chunked prefill, priorities,
// a limited KV memory and a prefix cache.
//
// An Engine has no clock. Its caller passes the time to each method, asks Next when something will happen and
// collects events with Advance. Blocks of a Job are hashes of its leading prompt blocks of BlockTokens tokens, each
// hash over the whole prefix, so that two prompts share a prefix as far as their hashes are equal.
package batch
