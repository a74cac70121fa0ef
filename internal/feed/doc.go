// Package feed holds the active configuration and the active replicas of a host. It reads them from the platform's
// store if no other host sends them in time, and exports them for other hosts.
package feed
