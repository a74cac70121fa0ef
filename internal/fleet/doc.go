// Package fleet holds what a host knows about backend servers as snapshots that requests read without locks.
package fleet
