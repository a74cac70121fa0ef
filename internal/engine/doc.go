// Package engine is the client of the model engines' HTTP interface.
package engine
