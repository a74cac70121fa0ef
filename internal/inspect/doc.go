// Package inspect finds the parts of a configuration that can be applied but can't have been meant: entries that never match
// and limits that contradict each other. It does no I/O.
package inspect
