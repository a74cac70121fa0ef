// Package platformapi defines the messages of the platform's HTTP interface: its key-value service and its host list.
//
//	GET    /v1/kv/{key}            -> Entry
//	GET    /v1/kv/{prefix}?list=1  -> Entries; with &index=N&wait_ms=M it blocks until the index passes N, at most M ms
//	PUT    /v1/kv/{key}?cas=R&lease=L   body is the value; R=0 creates the key -> Written, 409 if R is not its revision
//	DELETE /v1/kv/{key}?cas=R      -> Written, 409 if R is not its revision
//	PUT    /v1/leases?ttl_ms=N     -> Lease
//	POST   /v1/leases/{id}         renews -> Lease, 404 if it has expired
//	DELETE /v1/leases/{id}         revokes and deletes the lease's keys
//	GET    /v1/hosts?index=N&wait_ms=M  -> Hosts
//	POST   /v1/faults              Faults (stand-in only)
//	PUT    /v1/hosts               Hosts (stand-in only)
//	GET    /v1/calls               -> Calls (stand-in only)
//
// A write under an expired lease gets status 404, and so does the deletion of a key that does not exist.
// 429 means that the caller's rate is too high, 503 that the service is down; in both cases the call had no effect.
// After a broken connection it is unknown whether a write took effect.
package platformapi
