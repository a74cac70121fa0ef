// Package eventlog writes structured events as JSON lines. It never blocks its callers: lines that come too fast for
// their kind, or that the output doesn't take in time, are dropped and counted.
package eventlog
