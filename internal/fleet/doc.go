// Package fleet holds a host's cached state of the backend servers in immutable snapshots, which requests read without
// locks.
package fleet
