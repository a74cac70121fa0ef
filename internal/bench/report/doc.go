// Package report collects the figures of measurements and compares them with their targets.
package report
