// Package netconn sets the options of TCP connections that find out silent ones.
package netconn
