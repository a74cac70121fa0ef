// Package proofs tests the running programs under failure: processes that are killed or stopped, connections that go
// silent, outages of the platform.
//
// Its tests depend on the clock, so they have the build tag "proofs" and are run by scripts/proofs only.
package proofs
