// Package suspect finds requests that crash backend servers; it does no I/O.
package suspect
