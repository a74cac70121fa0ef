// Package outcome defines the outcomes and errors of requests that hosts report to callers.
package outcome
