// Package order runs requests that must not be repeated under claims in the platform's store.
package order
