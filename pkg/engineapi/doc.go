// Package engineapi holds the messages of the model engines' HTTP interface.
//
//	POST   /v1/sequences                              Submit -> SSE frames
//	GET    /v1/sequences/{request}/{attempt}          -> Status
//	GET    /v1/sequences/{request}/{attempt}/stream   ?offset=N -> SSE frames
//	DELETE /v1/sequences/{request}/{attempt}          cancels and frees -> Released
//	POST   /v1/sequences/{request}/{attempt}/export   -> Allocation
//	POST   /v1/reservations                           Reserve -> Allocation
//	GET    /v1/allocations                            -> Allocations
//	DELETE /v1/allocations/{id}                       -> Released
//	GET    /v1/load                                   -> Load
//	GET    /v1/cache_events                           ?after=N&wait_ms=N -> CacheEvents
//	POST   /v1/orders                                 Order -> OrderResult
//	GET    /v1/state                                  -> State
//	POST   /v1/faults                                 Faults (stand-in only)
//
// The id of an allocation is {request}.{attempt}.{kind}. Repeating a request with the same id is idempotent.
// Refusals are HTTP errors with a Refusal body; a refusal means that nothing ran.
package engineapi
