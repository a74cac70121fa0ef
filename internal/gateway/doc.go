// Package gateway wires and runs an entry host on the users' platform.
package gateway
