// Package queue orders waiting requests by slack, workspace share and age; it does no I/O.
package queue
