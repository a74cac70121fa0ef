// Package hoststatus defines the status report that an entry host on the users' platform serves as JSON at /status of
// its metrics address.
package hoststatus
