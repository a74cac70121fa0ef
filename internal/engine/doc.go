// Package engine is a client of the HTTP API of the model engines.
//
// The client keeps one connection pool for each engine. When a connection of a pool receives no data in time or breaks,
// the client discards the pool, so that later calls open new connections instead of waiting on idle connections that
// may have failed in the same way.
package engine
