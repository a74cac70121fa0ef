// Package retry decides whether a failed attempt is resumed, retried or given up. It does no I/O.
package retry
