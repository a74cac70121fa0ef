// Package dispatch runs admitted requests on backend servers.
package dispatch
