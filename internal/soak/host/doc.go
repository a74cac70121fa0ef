//go:build soak

// Command host is the program turmericshunt as the fault soak runs it: the soak can take away its paths to replicas.
package main
