// Package routing picks the backend servers that a request asks for a grant; it does no I/O.
package routing
