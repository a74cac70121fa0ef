// Package service forwards calls to the servers of plain services.
//
// It chooses a healthy server, keeps the caller's deadline, repeats idempotent calls on another server and never
// repeats another call after its first byte may have left.
package service
