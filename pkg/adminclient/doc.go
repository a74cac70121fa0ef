// Package adminclient is a client for the operators' HTTP interface of an entry host.
package adminclient
