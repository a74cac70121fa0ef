// Package virtual runs scheduled functions in virtual time: the clock moves from one to the next without waiting.
package virtual
