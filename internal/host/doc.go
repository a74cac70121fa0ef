// Package host assembles the roles of one entry host, such as its HTTP servers, schedulers and gossip with other hosts,
// and runs them until the host is stopped.
package host
