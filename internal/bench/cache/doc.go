// Package cache measures how much of the prompts is found in the prefix caches of the engines.
package cache
