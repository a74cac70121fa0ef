// Package decision measures what the decisions on the path of a request cost in real time and allocations.
package decision
