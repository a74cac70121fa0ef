// Package cli is the command line of turmericshunt.
package cli
