// Package change finds the differences between two JSON documents whose lists have entries with names.
package change
