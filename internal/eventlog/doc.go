// Package eventlog writes structured events as JSON lines. It never blocks its callers: it drops and counts lines of an
// event that exceeds its rate limit, and lines for which the queue to a slow output has no room.
package eventlog
