// Package heartbeat sends and answers the probes of the membership protocol and attaches gossip to them.
package heartbeat
