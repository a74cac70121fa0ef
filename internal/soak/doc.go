// Package soak holds a randomized fault-injection test. It runs entry hosts as separate processes, with stand-ins for
// the users' platform's metadata store and backend servers, injects faults from outside the processes, and checks what
// callers and backend servers see. The test has the build tag "soak"; scripts/soak runs it.
package soak
