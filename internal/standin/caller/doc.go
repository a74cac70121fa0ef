// Package caller is a client of entry hosts for the demo and tests. It sends prompts and calls of plain services, and
// checks that the responses are consistent with what the stand-in backend servers send.
package caller
