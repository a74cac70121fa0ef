// Package admission decides whether a request can finish within its time; it does no I/O.
package admission
