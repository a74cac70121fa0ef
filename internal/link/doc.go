// Package link carries the messages between entry hosts over TCP, as CBOR in frames with a length.
package link
