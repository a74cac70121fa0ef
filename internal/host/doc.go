// Package host wires the roles of one entry host and runs them.
package host
