// Package manifest decides which configuration changes are accepted and which configuration is active on a host.
// It does no I/O.
//
// The manifest is one entry in the platform's store that names the body of each section of the configuration. A change
// is accepted when a compare-and-swap of the manifest succeeds.
package manifest
