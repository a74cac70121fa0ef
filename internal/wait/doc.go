// Package wait waits for a duration or until a context is done.
package wait
