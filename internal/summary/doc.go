// Package summary stores the newest row of each backend server of a failure domain and the newest aggregates of other
// failure domains. It selects those that a host sends to its peers with heartbeats and responses. It does no I/O.
package summary
