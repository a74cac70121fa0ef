// Package stream assembles the frames of one attempt into a complete response. It does no I/O.
package stream
