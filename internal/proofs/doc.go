// Package proofs holds fault-injection tests of the built programs. Each test starts entry hosts and the stand-ins for
// engines, service and platform as processes, sends requests, and kills or stops processes, makes connections silent or
// takes the platform down in the meantime.
//
// The tests depend on real time, so they have the build tag "proofs" and only scripts/proofs runs them.
package proofs
