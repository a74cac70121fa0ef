// Package roster keeps the entry hosts that a host knows and names the one that plans for it; it does no I/O.
package roster
