// Package feed keeps the configuration and the list of replicas in force at a host, reads them from the platform's store
// when no other host does, and passes them on.
package feed
