// Package passes emulates a fleet of model engines in virtual time: passes, prefill in chunks, parts of prompts that
// engines prefill for one another, and one event for each decoding request in a pass. It shares no code with package
// pass, which predicts the same behavior from outside the engines.
package passes
