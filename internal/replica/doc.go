// Package replica keeps the list of the services' backend servers, as read from the platform's store. It does no I/O.
package replica
