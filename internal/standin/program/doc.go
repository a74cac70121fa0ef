// Package program is the command line of the stand-ins.
package program
