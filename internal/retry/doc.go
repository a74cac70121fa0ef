// Package retry decides whether a broken attempt is resumed, retried or given up; it does no I/O.
package retry
