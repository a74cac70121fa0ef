// Package load sends a random mix of requests to entry hosts at a given mean rate, checks the responses and summarizes
// their outcomes and times.
package load
