// Package cache measures how much of the prompts is found in the engines' prefix caches.
package cache
