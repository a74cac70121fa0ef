// Package adminapi holds the messages of the operators' HTTP interface.
//
//	GET /healthz                           the process runs
//	GET /readyz                            the host takes new requests
//	GET /metrics                           in the format of Prometheus
//	GET /v1/status                         -> Status
//	GET /v1/config                         -> Configuration
//	GET /v1/config/sections/{section}      -> Section
//	PUT /v1/config/sections/{section}      Change -> Accepted
//	GET /v1/config/history?limit=N         -> []Record, the newest first
//	GET /v1/config/status                  -> []HostVersion
//
// All paths under /v1 need a bearer token or a client certificate. Errors have the body Failure.
package adminapi
