// Package manifest decides which configuration is accepted and in force; it does no I/O.
package manifest
