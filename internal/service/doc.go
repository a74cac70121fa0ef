// Package service forwards calls to the backend servers of plain services, which serve no model.
//
// It chooses a healthy server and stays within the caller's deadline. It retries idempotent calls on another server.
// Once a byte of any other call may have been sent, it retries that call only if the server states that it refused the
// call before running it.
package service
