// Package hoststatus holds what an entry host on the users' platform tells about itself at /status of its metrics
// address.
package hoststatus
