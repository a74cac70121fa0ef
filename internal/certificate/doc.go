// Package certificate makes TLS settings from key files that are read again when they change.
package certificate
