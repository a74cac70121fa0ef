// Package overload measures goodput and refusals under loads above the capacity and after the loss of engines, and how
// well workspace limits hold.
package overload
