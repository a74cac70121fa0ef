// Package steady reads the boot-time clock, which continues while a host is suspended and can't be set by an operator.
package steady
