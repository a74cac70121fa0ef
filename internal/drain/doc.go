// Package drain serves HTTP and stops without dropping requests on connections that it has accepted.
//
// http.Server.Shutdown alone drops each request whose head is read completely after it was called, although the caller
// has sent it on an open connection.
package drain
