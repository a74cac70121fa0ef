// Package roster maintains the list of entry hosts that a host knows and determines which of them plans for it. It does
// no I/O.
package roster
