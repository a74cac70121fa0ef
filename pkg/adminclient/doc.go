// Package adminclient calls the operators' interface of an entry host.
package adminclient
