// Package listener serves connections and HTTP requests of tests on free ports of the loopback interface.
package listener
