// Package admin serves the HTTP API for operators: health checks, metrics, profiles, the host's status, and reading and
// changing the configuration.
package admin
