// Package admin serves the operators' HTTP interface.
package admin
