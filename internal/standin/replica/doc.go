// Package replica is a stand-in for the backend servers of the users' platform, by their published protocol: model
// replicas that stream the events of an emulated fleet, and replicas of plain services. It notes what each request met,
// and can misbehave in the ways that the protocol tells of.
package replica
