// Package scheduler runs one scheduler for each backend server that this host owns. A scheduler decides on the grant
// requests for its backend server, and polls it for its load, memory and cache events.
package scheduler
