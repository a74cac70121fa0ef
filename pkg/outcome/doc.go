// Package outcome names what callers are told about a request.
package outcome
