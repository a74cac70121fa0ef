// Package spread measures, in virtual time, how long an accepted configuration change takes to become active on every
// host, and how many bytes and store calls it takes.
//
// The simulated hosts run the propagation and manifest logic of internal/spread and internal/manifest. Messages between
// hosts and calls to the platform's store take simulated time, and a share of the messages is lost.
package spread
