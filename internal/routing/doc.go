// Package routing selects the backend servers from whose schedulers a request tries to get a grant. It also assigns the
// scheduling of each backend server to a host and summarizes a failure domain for the others. It does no I/O.
package routing
