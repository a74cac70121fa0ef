// Package metrics makes the root scope of a host's metrics and its Prometheus endpoint.
package metrics
