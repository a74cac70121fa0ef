// Package lease decides whether a holder may still act under a lease; it does no I/O.
//
// The fencing number is the store's revision of the key that names the holder, so it grows with each acquisition.
package lease
