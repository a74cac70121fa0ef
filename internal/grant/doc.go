// Package grant decides which attempts run on one backend server and when; it does no I/O.
//
// A Scheduler reserves memory for prompt and output of each grant, predicts when the engine gets to a prompt
// from the prompts it was given before, and lets asks wait in a queue only as long as they can still meet their time.
package grant
