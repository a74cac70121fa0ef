// Package dispatch runs prompts on backend servers. For each attempt it obtains a grant from the scheduler of a backend
// server, submits the prompt and relays the output to the caller; after a failure it resumes the attempt, starts
// another one or gives up, as package retry decides. A prompt that fits no single engine is split over several engines.
package dispatch
