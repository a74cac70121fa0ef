// Package relay sends an admitted call to a backend server and its response back to the caller. If the first server
// fails, it may retry the call at others.
package relay
