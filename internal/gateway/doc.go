// Package gateway assembles the components of an entry host on the users' platform and runs them: the listeners for
// callers, readiness checks, monitoring and peers, and the background loops.
package gateway
