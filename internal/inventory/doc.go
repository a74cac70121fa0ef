// Package inventory keeps a copy of the platform's host list.
package inventory
