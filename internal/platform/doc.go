// Package platform is a client of the platform's key-value service and host list.
//
// The client limits its rates of reads and writes and prefers calls of high priority when a rate is used up. A circuit
// breaker pauses all calls for a while when the platform does not respond. The kind of the error of a failed write says
// whether the write may have taken effect.
package platform
