// Package appointment decides when callers that are refused for lack of capacity may return, one after the other. It does
// no I/O.
package appointment
