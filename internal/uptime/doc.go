// Package uptime tells an outage of the platform's store from a pause of one of its readers. It does no I/O.
package uptime
