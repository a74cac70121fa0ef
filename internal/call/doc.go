// Package call holds a request on its way through an entry host, free of the names of any outside interface.
package call
