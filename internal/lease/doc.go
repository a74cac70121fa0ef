// Package lease decides whether a process may still act under a lease that it holds; it does no I/O.
//
// The fencing number is the store's revision of the key that names the holder, so it increases with each acquisition.
package lease
