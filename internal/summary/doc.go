// Package summary keeps the newest row of each backend server of a failure domain and picks the rows
// that a host tells its peers; it does no I/O.
package summary
