// Package revision defines positions in the history of the platform's store, which may be restored from an older copy.
package revision
