// Package stream assembles the frames of one attempt into a whole answer; it does no I/O.
package stream
