// Package entry serves the callers' HTTP interface.
package entry
