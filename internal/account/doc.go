// Package account counts what callers make a host hold and decides which of their connections are closed when it runs short.
// It does no I/O.
package account
