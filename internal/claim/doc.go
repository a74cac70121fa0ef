// Package claim decides how a request that must not be repeated runs at most once; it does no I/O.
//
// A claim is a record in the platform's store under a key made of the workspace and the idempotency key. Whoever
// creates it by compare-and-swap is its owner, and only the owner dispatches the request, once. Only the owner
// writes over an open claim. A claim that its owner closed as not_run may be replaced by anyone's new claim.
package claim
