// Package overload measures goodput and refusals above the capacity and after the loss of engines.
package overload
