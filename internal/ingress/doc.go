// Package ingress serves callers: it admits calls by the configuration in force and hands them to a relay.
package ingress
