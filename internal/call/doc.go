// Package call defines a request as the entry host processes it, independent of the names used on any external
// interface.
package call
