// Package site holds what an entry host is told about itself and its surroundings at start.
package site
