// Package drive simulates entry hosts, schedulers and model engines in virtual time. The decisions are those of the
// production packages; messages are delivered in memory after simulated network delays. Several measurements use it.
package drive
