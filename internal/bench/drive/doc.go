// Package drive runs the decisions of entry hosts and schedulers against model engines in virtual time,
// with in-memory delivery between them. It is shared by the measurements.
package drive
