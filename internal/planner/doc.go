// Package planner decides which backend server runs each request, over all entry hosts; it does no I/O.
//
// One planner sees all requests under way and follows each engine's passes with package pass. It places a request where
// the expected loss is smallest: its own, if its first event comes too late, and that of the requests beside it, if
// reading its prompt makes their pauses too long. Long prompts are read by several engines at once. An ask that finds no
// free place waits here, in order of urgency, or is refused at once if no place will be free in time.
package planner
