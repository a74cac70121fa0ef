// Package release decides which memory on engines is freed, and repeats each release until the engine confirms it.
//
// OrphanDetector finds allocations that nobody will use or free. Tracker schedules the calls that free an allocation.
// The package does no I/O: the methods return Actions, and the code that uses the package performs them and reports
// the results.
package release
