// Package member decides which entry hosts are alive.
//
// A List is a pure state machine. Inside a failure domain each host probes the next hosts on a ring, so that a death is
// noticed within one probe interval whatever the number of hosts, and one host picked at random, which spreads news.
// A host that does not answer is probed through others, then suspected, then taken for dead unless it refutes that.
// Two edge hosts of each failure domain carry its members to the edge hosts of the others; only a host's own failure
// domain declares it dead.
package member
