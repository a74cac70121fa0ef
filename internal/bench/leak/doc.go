// Package leak measures, in virtual time, the memory that engines still hold after hosts crashed, froze or lost their
// connections to engines, and engines crashed, at random steps.
package leak
