// Package ingress is the HTTP server for callers: it admits calls by the active configuration and passes them to a
// relay.
package ingress
