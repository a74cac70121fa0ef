// Package queue orders the grant requests that wait for one backend server; it does no I/O.
//
// A higher urgency class goes first. Within a class, requests of workspaces that have used more than their weighted
// share go after all others. Next, shorter prompts go first, and of prompts with the same priority the one with the
// least slack. A request that has waited for its aging period goes before prompts of any length whose aging period has
// not passed, so that long prompts do not starve.
package queue
