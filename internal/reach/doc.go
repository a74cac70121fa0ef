// Package reach keeps which backend servers this host can connect to and decides when that is checked. It does no I/O.
package reach
