// Package promptsize measures how often the prompts of each size get engines, compared with all prompts of their kind. It does
// no I/O.
package promptsize
