// Package replica keeps the list of the services' backend servers as read from the platform; it does no I/O.
package replica
