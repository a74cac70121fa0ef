// Package steady reads the clock that goes on while a host is suspended and that no operator sets.
package steady
