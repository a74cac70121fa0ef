// Package tunnel carries connections to backend servers through other entry hosts. A tunnel begins with the address of the
// server; then the bytes to the server follow as they are, and those from it in frames, so that the end of the server's
// connection can be told from the loss of the host between.
package tunnel
