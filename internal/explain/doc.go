// Package explain finds out from the logs of entry hosts how one request was processed and why it ended as it did. It
// only reads from the readers that it is given and performs no other I/O.
package explain
