// Package order runs orders: non-idempotent requests to plain services, which must run at most once.
//
// A caller may submit the same order several times, to the same host or to others, with the same idempotency key.
// Each submission tries to create a claim for the key in the platform's store; only the one that creates it sends the
// request to the service. Package claim makes these decisions. This package executes its actions: it calls the store
// and the service, asks the hosts that own claims, waits, and replies to the caller. Error messages call a submission
// a sending.
package order
