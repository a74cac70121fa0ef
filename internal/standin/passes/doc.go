// Package passes emulates a fleet of model engines in virtual time: passes, reading in chunks, parts of prompts that
// engines read for one another, and one event for each writer in a pass. It shares no decision with package pass, which
// predicts the same from outside.
package passes
