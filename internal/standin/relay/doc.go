// Package relay stands between a client and a server and makes open connections go silent.
package relay
