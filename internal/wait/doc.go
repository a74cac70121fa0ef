// Package wait pauses for a time that a context may cut short.
package wait
