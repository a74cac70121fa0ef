// Package budget limits how many retries one host sends. It does no I/O.
package budget
