// Package certificate creates TLS configurations from certificate and key files and reloads the files when they change.
package certificate
