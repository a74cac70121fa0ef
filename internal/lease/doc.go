// Package lease decides whether a holder may still act under a lease; it does no I/O.
package lease
