// Package leak measures the memory that engines still hold after hosts and engines were killed, cut off and frozen at
// random steps.
package leak
