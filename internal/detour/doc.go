// Package detour chooses the entry hosts through which this host connects to backend servers that it can't reach itself.
// It does no I/O.
package detour
