// Package latency measures the time to the first token by prompt length and what long prompts cost short ones.
package latency
