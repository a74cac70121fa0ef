// Package quota limits what a workspace may use over a failure domain; it does no I/O.
package quota
