// Package bench measures the decisions in virtual time against their targets.
package bench
