// Package grant decides which attempts run on one backend server and when; it does no I/O.
//
// A Scheduler receives grant requests and answers each with a grant or a refusal. It reserves memory for the prompt and
// the output of each grant, and predicts from the prompts already granted when the engine will start to prefill
// another one. A request waits in the queue only while it is predicted to finish by its deadline.
package grant
