// Package cli implements the command line of turmericshunt: its commands, flags, output and exit codes.
package cli
