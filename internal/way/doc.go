// Package way decides in which ways a connection to a backend server is tried, and when: directly and through other hosts. It
// does no I/O.
package way
