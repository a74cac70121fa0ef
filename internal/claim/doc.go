// Package claim decides how a non-idempotent request runs at most once; it does no I/O.
//
// A claim is a record in the platform's store under a key made from the workspace and the idempotency key. The
// attempt that creates the claim by compare-and-swap is its owner. Only the owner dispatches the request, once, and
// only the owner overwrites the claim while it is open. If the owner closed the claim as not_run, any attempt may
// replace it by a claim of its own.
//
// An attempt handles one submission of a request by a caller. Its Machine takes events and returns the actions that
// the host must carry out: store calls, the dispatch, questions to the owner of another attempt's claim, and the reply
// to the caller. Error messages call a submission a sending.
package claim
