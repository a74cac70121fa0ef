// Package violation helps property-based tests (pgregory.net/rapid). Such a test checks that a property holds, and that
// rapid finds a counterexample to it as soon as one protection of the code under test is switched off.
package violation
