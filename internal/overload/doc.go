// Package overload tests that an entry host outlives callers that don't keep to the limits. Its tests have the build tag
// overload and run one at a time: they start the program itself and measure its memory and descriptors.
package overload
