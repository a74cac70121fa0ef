// Package virtual runs events in virtual time for measurements.
package virtual
