// Package scheduler runs the schedulers of the backend servers that this host owns.
package scheduler
