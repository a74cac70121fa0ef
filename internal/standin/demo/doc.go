// Package demo sends the demo's requests and prints their table.
package demo
