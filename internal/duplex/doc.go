// Package duplex tells how a connection has ended that is read and written at the same time. The system reports a failure, such
// as a reset, only once, to the read or to the write; the other one then sees an orderly end.
package duplex
