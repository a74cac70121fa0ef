// Package budget limits how often one host sends requests again; it does no I/O.
package budget
