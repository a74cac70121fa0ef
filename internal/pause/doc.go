// Package pause keeps the pauses that backend servers have asked this host for with a Retry-After. It does no I/O.
package pause
