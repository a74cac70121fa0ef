// Package protocol holds the messages that entry hosts send one another and their CBOR codec.
//
// Times are sent as durations from the moment of sending, so that hosts' clocks need not agree.
package protocol
