// Package member implements the membership protocol that decides which entry hosts are alive.
//
// A List is a pure state machine: it does no I/O and returns the messages that the caller is to send. Within a
// failure domain each host probes the next hosts on a ring, so that the failure of a host is noticed within one probe
// interval whatever the number of hosts. Each host also probes one host picked at random, which spreads gossip. A
// host that does not answer a probe is probed through other hosts, then suspected, and then declared dead unless it
// refutes the suspicion.
//
// Two edge hosts of each failure domain exchange member rows with the edge hosts of the other failure domains. Only
// the hosts of its own failure domain declare a host dead.
package member
