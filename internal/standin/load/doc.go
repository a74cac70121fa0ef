// Package load sends a mix of requests to entry hosts at a rate and reports what came of them.
package load
