// Package soak holds a randomized test that runs entry hosts as separate processes on stand-ins of the users' platform,
// injects faults from outside and checks what callers and backend servers see. It is built with the tag soak only.
package soak
