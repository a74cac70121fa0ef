// Package placement connects an entry host with its planner. It chooses the host that plans for this one, submits
// placement requests to it and reports how the placed requests progress. It also runs a planner on this host, which is
// used if this host is chosen or if the planner on another host does not reply.
package placement
