// Package explain finds in the logs of entry hosts what became of one request; it does no I/O but reading.
package explain
