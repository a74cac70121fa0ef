// Package demo sends the main kinds of requests to entry hosts, prints a table of their outcomes and times and checks
// the responses.
package demo
