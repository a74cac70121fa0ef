// Package spread distributes accepted configuration to every host.
//
// An ActiveConfig holds one host's active configuration and takes new changes through the platform's store. A
// Distributor decides which hosts configuration is pushed to and pulled from.
package spread
