// Package report collects measured values, compares them with their targets and writes them as a table or as JSON.
package report
