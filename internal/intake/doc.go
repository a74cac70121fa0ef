// Package intake bounds what the callers of an HTTP server make its host hold: the heads of their requests while they are read, what
// net/http makes of them, and what the kernel has received and nobody has read.
package intake
