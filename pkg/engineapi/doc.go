// Package engineapi defines the messages of the HTTP interface of model engines.
//
//	POST   /v1/sequences                              Submit -> SSE frames
//	GET    /v1/sequences/{request}/{attempt}          -> Status
//	GET    /v1/sequences/{request}/{attempt}/stream   ?offset=N -> SSE frames from output token N on
//	DELETE /v1/sequences/{request}/{attempt}          cancels the attempt and frees its memory -> Released
//	POST   /v1/sequences/{request}/{attempt}/export   -> Allocation
//	POST   /v1/reservations                           Reserve -> Allocation
//	GET    /v1/allocations                            -> Allocations
//	DELETE /v1/allocations/{id}                       -> Released
//	GET    /v1/load                                   -> Load
//	GET    /v1/cache_events                           ?after=N&wait_ms=M -> CacheEvents
//	POST   /v1/orders                                 Command -> CommandResult
//	GET    /v1/state                                  -> State
//	POST   /v1/faults                                 Faults (stand-in only)
//
// The id of an allocation is {request}.{attempt}.{kind}. Repeating a request with the same id is idempotent.
// An engine refuses a request with an HTTP error status and a Refusal as body; a refused request has not run.
package engineapi
