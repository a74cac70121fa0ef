// Package reclaim sends releases of engine memory and repeats them until each is confirmed.
package reclaim
