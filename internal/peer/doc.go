// Package peer sends and receives the messages of package protocol between entry hosts over QUIC.
package peer
