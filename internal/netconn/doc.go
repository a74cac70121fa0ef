// Package netconn sets the TCP options by which connections to unresponsive peers are detected and closed, and checks
// whether an idle connection can be used again.
package netconn
