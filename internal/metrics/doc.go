// Package metrics creates the root scope of a host's metrics and the HTTP handler of its Prometheus endpoint.
package metrics
