// Package reclaim sends the calls that free memory on engines, and repeats each until the engine confirms it.
package reclaim
