// Package spread measures how fast and at what cost accepted configuration reaches each host, in virtual time.
//
// The hosts run the decisions of internal/spread and internal/manifest; messages between them and calls of the
// platform's store take simulated time, and some are lost.
package spread
