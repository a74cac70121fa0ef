// Package dialer connects an entry host to backend servers, directly or, where that fails, through other entry hosts.
package dialer
