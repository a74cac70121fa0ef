// Package protocol defines the messages between entry hosts and their CBOR encoding.
//
// Points in time are sent as durations relative to the time of sending, so that the clocks of hosts need not agree.
package protocol
