// Package relay takes an admitted call to a backend server and its answer back, over more than one server if need be.
package relay
