// Package release decides which memory on engines is freed and repeats releases until confirmed; it does no I/O.
package release
