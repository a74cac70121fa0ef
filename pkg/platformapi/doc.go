// Package platformapi holds the messages of the platform's key-value service and host list.
//
//	GET    /v1/kv/{key}            -> Entry
//	GET    /v1/kv/{prefix}?list=1  -> Entries; with &index=N&wait_ms=M it blocks until the index passes N
//	PUT    /v1/kv/{key}?cas=R&lease=L   body is the value; R=0 creates -> Written, 409 on conflict
//	DELETE /v1/kv/{key}?cas=R      -> Written, 409 on conflict
//	PUT    /v1/leases?ttl_ms=N     -> Lease
//	POST   /v1/leases/{id}         renews -> Lease, 404 when lapsed
//	DELETE /v1/leases/{id}         revokes, deleting the lease's keys
//	GET    /v1/hosts?index=N&wait_ms=M  -> Hosts
//	POST   /v1/faults              Faults (stand-in only)
//	PUT    /v1/hosts               Hosts (stand-in only)
//	GET    /v1/calls               -> Calls (stand-in only)
//
// A write under a lapsed lease answers 404. A deletion of a key that does not exist answers 404.
// 429 means that the caller's rate is too high and nothing was done; 503 likewise; a broken connection
// after a write says nothing about whether it took effect.
package platformapi
