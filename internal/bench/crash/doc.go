// Package crash measures how many backend servers a crashing prompt takes down and which bystanders are refused for it.
package crash
