// Package latency measures the time to the first token for each class of prompt length, and how much long prompts slow
// down short ones.
package latency
