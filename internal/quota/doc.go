// Package quota limits the requests in flight and the tokens per minute of each workspace over a whole failure domain.
// It does no I/O.
package quota
