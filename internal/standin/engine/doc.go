// Package engine is a stand-in of a model engine for the demo and tests.
package engine
