// Package replica is a stand-in for the backend servers of the users' platform, by their published protocol: model
// replicas that stream the events of an emulated fleet, and replicas of plain services. It records each request that
// reaches a replica, and can simulate the faults that the protocol describes.
package replica
