// Package relay is a TCP proxy for tests that can simulate a network failure: it discards all data of the open
// connections without closing them.
package relay
