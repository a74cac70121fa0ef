// Package link carries messages between entry hosts over TCP. Messages are encoded as CBOR in length-prefixed frames.
package link
