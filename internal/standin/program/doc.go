// Package program implements the command line of the stand-ins.
package program
