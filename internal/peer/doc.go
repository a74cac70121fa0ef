// Package peer carries the inner protocol between entry hosts over QUIC.
package peer
