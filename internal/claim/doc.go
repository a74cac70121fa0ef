// Package claim decides how a request that must not be repeated runs at most once; it does no I/O.
package claim
