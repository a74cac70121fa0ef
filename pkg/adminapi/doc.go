// Package adminapi defines the messages of the operators' HTTP interface of an entry host.
//
//	GET /healthz                           the process runs
//	GET /readyz                            the host accepts new requests
//	GET /metrics                           metrics in the Prometheus text format
//	GET /v1/status                         -> Status
//	GET /v1/config                         -> Configuration
//	GET /v1/config/sections/{section}      -> Section
//	PUT /v1/config/sections/{section}      Change -> Accepted
//	GET /v1/config/history?limit=N         -> []Record, newest first
//	GET /v1/config/status                  -> []HostVersion
//
// All paths under /v1 require a bearer token or a client certificate. The body of an error response is an
// ErrorResponse.
package adminapi
