// Package longprompt splits a prompt that needs the memory of several engines into one part for each engine.
//
// Planner chooses the engines and the size of each part. Chain is the state machine that reserves the memory, runs the
// parts one after the other and frees the memory. The package does no I/O: the methods return Actions, and the code
// that uses the package performs them and reports the results.
package longprompt
