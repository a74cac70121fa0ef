// Package member decides which entry hosts are alive; it does no I/O.
package member
